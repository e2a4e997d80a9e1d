package ticketstore_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// fileAll files the tickets and returns the resulting configuration. It calls
// after with the configuration after each ticket.
func fileAll(t *testing.T, store *ticketstore.Store, tickets []ticket.Ticket, after func(snapshot *desiredstate.Snapshot)) *desiredstate.Snapshot {
	t.Helper()
	snapshot := &desiredstate.Snapshot{}
	for index, unfiled := range tickets {
		record, err := store.File(t.Context(), unfiled, fmt.Sprint("op-", index))
		if err != nil {
			t.Fatal(err)
		}
		snapshot = snapshot.With(desiredstate.EntriesFromTicket(&record.Ticket), record.Ticket.Number)
		after(snapshot)
	}
	return snapshot
}

// checkpointAfterEach returns a function for fileAll that writes a checkpoint.
func checkpointAfterEach(t *testing.T, store *ticketstore.Store) func(snapshot *desiredstate.Snapshot) {
	return func(snapshot *desiredstate.Snapshot) {
		if err := store.WriteCheckpoint(t.Context(), snapshot); err != nil {
			t.Fatal(err)
		}
	}
}

// requireLoaded checks that a starting reader loads the configuration want.
func requireLoaded(t *testing.T, store *ticketstore.Store, want *desiredstate.Snapshot) {
	t.Helper()
	loaded, err := store.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	got := (&desiredstate.Snapshot{}).With(loaded.Entries, loaded.UpTo)
	if diff := cmp.Diff(want.EntriesAfter(0), got.EntriesAfter(0)); diff != "" || got.UpTo() != want.UpTo() {
		t.Errorf("configuration up to %d, want %d (-want +got):\n%s", got.UpTo(), want.UpTo(), diff[:min(len(diff), 2000)])
	}
}

// A checkpoint and the tickets after it must yield the same configuration as all
// tickets together.
func TestCheckpointPreservesConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(fakes.NewObjectStore())
		var tickets []ticket.Ticket
		for index := range 150 {
			tickets = append(tickets, zoneTicket("aya", fmt.Sprint("zone-", index%7), 0))
		}
		requireLoaded(t, store, fileAll(t, store, tickets, checkpointAfterEach(t, store)))
	})
}

const endpointsPerTicket = 130

// endpointTickets returns count tickets with endpointsPerTicket endpoints each. The
// endpoints of many such tickets do not fit into a single object.
func endpointTickets(count int) []ticket.Ticket {
	var tickets []ticket.Ticket
	for index := range count {
		filed := ticket.Ticket{Operator: "aya"}
		for endpoint := range endpointsPerTicket {
			filed.Endpoints = append(filed.Endpoints, ticket.Endpoint{Name: fmt.Sprintf("endpoint-of-a-long-name-%05d-%02d", index, endpoint), TakesWork: true})
		}
		tickets = append(tickets, filed)
	}
	return tickets
}

func TestCheckpointSpansSeveralObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		store := newStore(objects)
		requireLoaded(t, store, fileAll(t, store, endpointTickets(140), checkpointAfterEach(t, store)))
		// The second checkpoint, after ticket 128, consists of 16,640 endpoints of
		// about 140 bytes in parts of 256 KiB, and of the object that refers to the
		// parts. The parts of the first checkpoint must have been deleted.
		const maxObjects = 128*endpointsPerTicket*140/(256<<10) + 2
		if count := objects.CountObjects("checkpoint"); count > maxObjects {
			t.Errorf("%d checkpoint objects are stored, want at most %d", count, maxObjects)
		}
	})
}

// Without a checkpoint, Load must read every page when there are more tickets than
// the object API lists in one response.
func TestLoadReadsEveryPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 2100
		store := newStore(fakes.NewObjectStore())
		want := &desiredstate.Snapshot{}
		for number := int64(1); number <= count; number++ {
			record := ticketstore.Record{OperationID: fmt.Sprint("op-", number), Ticket: zoneTicket("aya", fmt.Sprint("zone-", number%7), number)}
			if _, err := store.Objects.Put(t.Context(), ticketstore.TicketKey(number), 0, record); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
			want = want.With(desiredstate.EntriesFromTicket(&record.Ticket), number)
		}
		requireLoaded(t, store, want)
		filed, err := store.File(t.Context(), zoneTicket("aya", "zone-1", 0), "last")
		if err != nil || filed.Ticket.Number != count+1 {
			t.Errorf("filed ticket %d, want %d: %v", filed.Ticket.Number, count+1, err)
		}
	})
}
