package membership_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/mimosaward/mimosaward/internal/membership"
)

func liveAgent(name string, version int64) membership.Instance {
	return membership.Instance{Name: name, Role: membership.AgentRole, Pool: "drafting", AvailabilityZone: "a", Status: membership.Live, Version: version}
}

// Removing an instance keeps the order of the others.
func ExampleRank() {
	instances := []membership.Instance{liveAgent("a", 1), liveAgent("b", 1), liveAgent("c", 1)}
	for _, list := range [][]membership.Instance{instances, {instances[0], instances[2]}} {
		for _, instance := range membership.Rank("chunk-7", list) {
			fmt.Print(instance.Name)
		}
		fmt.Println()
	}
	// Output:
	// cba
	// ca
}

func TestStaleRecordsAreIgnored(t *testing.T) {
	gone := liveAgent("a", 5)
	gone.Status = membership.Gone
	view := membership.NewView().With([]membership.Instance{liveAgent("a", 1), liveAgent("b", 2)}, 2).With([]membership.Instance{gone}, 5)
	view = view.With([]membership.Instance{liveAgent("a", 1)}, 1)
	if diff := cmp.Diff([]membership.Instance{liveAgent("b", 2)}, view.Pool("drafting")); diff != "" {
		t.Errorf("pool (-want +got):\n%s", diff)
	}
	if view.Version() != 5 {
		t.Errorf("version %d, want 5", view.Version())
	}
}

// Instances are replaced every day under new names, so the records of gone
// instances must not accumulate.
func TestGoneRecordsArePruned(t *testing.T) {
	view := membership.NewView()
	for version := int64(1); version <= 50_000; version += 1000 {
		gone := liveAgent(fmt.Sprint("old-", version), version)
		gone.Status = membership.Gone
		view = view.With([]membership.Instance{gone}, version)
	}
	if view.Len() > 12 {
		t.Errorf("view retains %d records of gone instances, want at most 12", view.Len())
	}
}

func TestTopRankedIsPrefixOfRank(t *testing.T) {
	var instances []membership.Instance
	for index := range 40 {
		instances = append(instances, membership.Instance{Name: fmt.Sprint("instance-", index)})
	}
	for key := range 50 {
		for _, count := range []int{0, 1, 2, 7, 40} {
			want := membership.Rank(fmt.Sprint(key), instances)[:count]
			got := membership.TopRanked(fmt.Sprint(key), instances, count)
			if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("key %d, top %d (-want +got):\n%s", key, count, diff)
			}
		}
	}
}

// Records arrive in any order, including outdated ones. The newest record of
// each name wins.
func TestNewestRecordWins(t *testing.T) {
	record := func(name string, version int64, status membership.Status) membership.Instance {
		return membership.Instance{Name: name, Role: membership.EntryRole, AvailabilityZone: "zone-" + name, Status: status, Version: version}
	}
	view := membership.NewView().With([]membership.Instance{record("b", 2, membership.Live), record("a", 1, membership.Live)}, 2)
	view = view.With([]membership.Instance{record("c", 4, membership.Live), record("b", 1, membership.Gone), record("a", 5, membership.Gone), record("a", 3, membership.Live)}, 5)
	if diff := cmp.Diff([]membership.Instance{record("b", 2, membership.Live), record("c", 4, membership.Live)}, view.Entries()); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"zone-b", "zone-c"}, view.Zones()); diff != "" {
		t.Errorf("zones (-want +got):\n%s", diff)
	}
	if gone, ok := view.Instance("a"); !ok || gone.Status != membership.Gone {
		t.Errorf("record of a gone instance: got %+v, %t", gone, ok)
	}
}
