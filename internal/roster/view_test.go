package roster_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/mimosaward/mimosaward/internal/roster"
)

func live(name string, version int64) roster.Instance {
	return roster.Instance{Name: name, Role: roster.AgentRole, Pool: "drafting", AvailabilityZone: "a", Status: roster.Live, Version: version}
}

// One instance less moves no other.
func ExampleRank() {
	instances := []roster.Instance{live("a", 1), live("b", 1), live("c", 1)}
	for _, list := range [][]roster.Instance{instances, {instances[0], instances[2]}} {
		for _, instance := range roster.Rank("chunk-7", list) {
			fmt.Print(instance.Name)
		}
		fmt.Println()
	}
	// Output:
	// cba
	// ca
}

func TestStaleRecordsAreIgnored(t *testing.T) {
	gone := live("a", 5)
	gone.Status = roster.Gone
	view := roster.NewView().With([]roster.Instance{live("a", 1), live("b", 2)}, 2).With([]roster.Instance{gone}, 5)
	view = view.With([]roster.Instance{live("a", 1)}, 1)
	if diff := cmp.Diff([]roster.Instance{live("b", 2)}, view.Pool("drafting")); diff != "" {
		t.Errorf("pool (-want +got):\n%s", diff)
	}
	if view.Version() != 5 {
		t.Errorf("version went back to %d", view.Version())
	}
}

// Instances are replaced every day under new names: the records of those that
// went must not pile up.
func TestGoneRecordsArePruned(t *testing.T) {
	view := roster.NewView()
	for version := int64(1); version <= 50_000; version += 1000 {
		gone := live(fmt.Sprint("old-", version), version)
		gone.Status = roster.Gone
		view = view.With([]roster.Instance{gone}, version)
	}
	if view.Len() > 12 {
		t.Errorf("view keeps %d records of instances that went", view.Len())
	}
}

func TestTopIsTheStartOfRank(t *testing.T) {
	var instances []roster.Instance
	for index := range 40 {
		instances = append(instances, roster.Instance{Name: fmt.Sprint("instance-", index)})
	}
	for key := range 50 {
		for _, count := range []int{0, 1, 2, 7, 40} {
			want := roster.Rank(fmt.Sprint(key), instances)[:count]
			got := roster.Top(fmt.Sprint(key), instances, count)
			if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
				t.Errorf("key %d, first %d (-want +got):\n%s", key, count, diff)
			}
		}
	}
}

// Records arrive in any order, old ones among them; the newest of each name
// counts.
func TestNewestRecordsCount(t *testing.T) {
	record := func(name string, version int64, status roster.Status) roster.Instance {
		return roster.Instance{Name: name, Role: roster.EntryRole, AvailabilityZone: "zone-" + name, Status: status, Version: version}
	}
	view := roster.NewView().With([]roster.Instance{record("b", 2, roster.Live), record("a", 1, roster.Live)}, 2)
	view = view.With([]roster.Instance{record("c", 4, roster.Live), record("b", 1, roster.Gone), record("a", 5, roster.Gone), record("a", 3, roster.Live)}, 5)
	if diff := cmp.Diff([]roster.Instance{record("b", 2, roster.Live), record("c", 4, roster.Live)}, view.Entries()); diff != "" {
		t.Errorf("entries (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"zone-b", "zone-c"}, view.Zones()); diff != "" {
		t.Errorf("zones (-want +got):\n%s", diff)
	}
	if gone, found := view.Instance("a"); !found || gone.Status != roster.Gone {
		t.Errorf("record of an instance that is gone: %+v, %t", gone, found)
	}
}
