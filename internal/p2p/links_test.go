package p2p

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a fetcher that fetched its first set with few instances and then has as many
// slices in flight as if it still shared the link with so few.
func TestSlicesInFlightFollowNumberOfInstances(t *testing.T) {
	var fetcher Fetcher
	var got []int
	for _, sharers := range []int{1, 1, 4, 16, 2} {
		got = append(got, fetcher.linkController("region", sharers).InFlight.Limit)
	}
	if diff := cmp.Diff([]int{8, 8, 2, 1, 4}, got); diff != "" {
		t.Errorf("slices in flight of an instance when the instances change (-want +got):\n%s", diff)
	}
	controller := fetcher.linkController("region", 2)
	if again := fetcher.linkController("region", 2); again != controller {
		t.Error("the measured rate of a link is lost although the instances have not changed")
	}
}
