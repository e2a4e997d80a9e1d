package storewatch_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/storewatch"
)

// A version is replaced from the moment at which the first higher one was known, whichever was
// learned of first.
func TestReplacedSince(t *testing.T) {
	start := time.Unix(1000, 0)
	rollouts := &storewatch.Rollouts{}
	rollouts.Merge("draft", 4, start.Add(5*time.Second))
	rollouts.Merge("draft", 2, start)
	rollouts.Merge("draft", 3, start.Add(9*time.Second))
	rollouts.Merge("other", 7, start)
	var got []time.Time
	for _, version := range []int64{1, 2, 3, 4} {
		got = append(got, rollouts.ReplacedSince("draft", version))
	}
	want := []time.Time{start, start.Add(5 * time.Second), start.Add(5 * time.Second), {}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times since which versions 1 to 4 are replaced (-want +got):\n%s", diff)
	}
}
