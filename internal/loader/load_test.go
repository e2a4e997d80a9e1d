package loader

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/membership"
)

// Engines that load weights serve nothing. If the engines of an availability zone load one
// after the other, the callers of that zone lose most of their capacity at the same time.
func TestLoadOrderMixesZones(t *testing.T) {
	const perZone, zones, parts = 40, 5, 10
	var members []Member
	for zone := range zones {
		for index := range perZone {
			members = append(members, Member{Instance: membership.Instance{Name: fmt.Sprintf("10.%d.0.%d", zone, index), AvailabilityZone: fmt.Sprint(zone)}})
		}
	}
	ranks := map[int]bool{}
	loading := [parts]map[string]int{}
	for _, member := range members {
		rank := loadRank("draft@2", member.Instance.Name, members)
		ranks[rank] = true
		part := rank * parts / len(members)
		if loading[part] == nil {
			loading[part] = map[string]int{}
		}
		loading[part][member.Instance.AvailabilityZone]++
	}
	if diff := cmp.Diff(len(members), len(ranks)); diff != "" {
		t.Errorf("number of different ranks (-want +got):\n%s", diff)
	}
	for part, byZone := range loading {
		for zone, count := range byZone {
			if count > perZone/3 {
				t.Errorf("part %d of %d: %d of the %d engines of zone %s load", part, parts, count, perZone, zone)
			}
		}
	}
}
