package desiredstate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

func zoneEntries(number int64, zone string, inService bool) []desiredstate.Entry {
	return desiredstate.EntriesFromTicket(&ticket.Ticket{Number: number, Zones: []ticket.Zone{{Name: zone, InService: inService}}})
}

func ExampleStore() {
	store := desiredstate.NewStore()
	store.Merge(zoneEntries(2, "kumamoto", false), 2)
	// A stale peer sends an older ticket.
	store.Merge(zoneEntries(1, "kumamoto", true), 1)
	fmt.Println(store.Snapshot().UpTo(), store.Snapshot().ZoneInService("kumamoto"))
	// Output: 2 false
}

// Regardless of the order in which updates from peers are merged, the final
// configuration has the newest ticket of each scope, and no scope reverts to an
// older ticket on the way.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 0))
		newest := map[string]int64{}
		var updates [][]desiredstate.Entry
		for number := int64(1); number <= 60; number++ {
			zone := fmt.Sprint("zone-", random.IntN(5))
			newest[zone] = number
			updates = append(updates, zoneEntries(number, zone, number%2 == 0))
		}
		random.Shuffle(len(updates), func(i, j int) { updates[i], updates[j] = updates[j], updates[i] })
		store := desiredstate.NewStore()
		last := map[ticket.Scope]int64{}
		for _, update := range updates {
			store.Merge(update, update[0].Number)
			for _, entry := range store.Snapshot().EntriesAfter(0) {
				if entry.Number < last[entry.Scope] {
					t.Fatalf("seed %d: %s reverted from ticket %d to %d", seed, entry.Scope, last[entry.Scope], entry.Number)
				}
				last[entry.Scope] = entry.Number
			}
		}
		got := map[string]int64{}
		for _, entry := range store.Snapshot().EntriesAfter(0) {
			got[entry.Zone.Name] = entry.Number
		}
		if diff := cmp.Diff(newest, got); diff != "" {
			t.Errorf("seed %d: newest tickets (-want +got):\n%s", seed, diff)
		}
	}
}
