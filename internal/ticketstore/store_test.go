package ticketstore_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

func newStore(objects *fakes.ObjectStore) *ticketstore.Store {
	return &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: objects.RoundTrip}}
}

func zoneTicket(operator, zone string, number int64) ticket.Ticket {
	return ticket.Ticket{Number: number, Operator: operator, Zones: []ticket.Zone{{Name: zone, InService: false}}}
}

// fileConcurrently lets several operators concurrently file a ticket for the same
// zone with the given number, and returns the result of each.
func fileConcurrently(t *testing.T, objects *fakes.ObjectStore, operators int, number int64) []error {
	t.Helper()
	results := make([]error, operators)
	group := concurrency.NewGroup(t.Context())
	for index := range results {
		group.Go(func(ctx context.Context) {
			_, results[index] = newStore(objects).File(ctx, zoneTicket(fmt.Sprint("operator-", index), "a", number), fmt.Sprint("op-", index))
		})
	}
	group.Wait()
	return results
}

func TestNumberHasOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		results := fileConcurrently(t, objects, 5, 1)
		winners := 0
		for _, err := range results {
			var taken *ticketstore.NumberTakenError
			switch {
			case err == nil:
				winners++
			case !errors.As(err, &taken):
				t.Errorf("error of a losing operator: got %v, want a NumberTakenError", err)
			}
		}
		if winners != 1 {
			t.Errorf("%d operators filed ticket 1, want 1", winners)
		}
	})
}

// Both operators read the store before either files a ticket. One wins, and the
// error for the other names the winner.
func TestRaceOnOneScopeHasOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		objects.SetFaults(fakes.ObjectFaults{Delay: 10 * time.Millisecond})
		results := fileConcurrently(t, objects, 2, 0)
		winner := 0
		if results[0] != nil {
			winner = 1
		}
		want := &ticketstore.ConflictError{Scope: ticket.ZoneScope("a"), Number: 1, Operator: fmt.Sprint("operator-", winner)}
		var got *ticketstore.ConflictError
		if results[winner] != nil || !errors.As(results[1-winner], &got) || !cmp.Equal(want, got) {
			t.Errorf("got %v, want one nil and %v", results, want)
		}
	})
}

func TestGapIsRefused(t *testing.T) {
	_, err := newStore(fakes.NewObjectStore()).File(t.Context(), zoneTicket("aya", "a", 7), "op")
	want := &ticketstore.NumberGapError{Number: 7, NextFree: 1}
	var got *ticketstore.NumberGapError
	if !errors.As(err, &got) || !cmp.Equal(want, got) {
		t.Errorf("got %v, want %v", err, want)
	}
}

// If the response of the store is lost after the write, the retry must recognize
// the operator's own ticket instead of filing it a second time.
func TestWriteWithLostResponseIsRecognized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		objects.SetFaults(fakes.ObjectFaults{LoseResponses: 1})
		store := newStore(objects)
		record, err := store.File(t.Context(), zoneTicket("aya", "a", 0), "op-1")
		if err != nil || record.Ticket.Number != 1 {
			t.Fatalf("got ticket %d and %v, want ticket 1", record.Ticket.Number, err)
		}
		loaded, err := store.Load(t.Context())
		if err != nil || loaded.UpTo != 1 {
			t.Errorf("store contains %d tickets, want 1: %v", loaded.UpTo, err)
		}
	})
}

func TestOutageIsReportedAsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		objects.SetFaults(fakes.ObjectFaults{Down: true})
		_, err := newStore(objects).File(t.Context(), zoneTicket("aya", "a", 0), "op-1")
		var unknown *ticketstore.UnknownOutcomeError
		if !errors.As(err, &unknown) || unknown.OperationID != "op-1" {
			t.Errorf("got %v, want an UnknownOutcomeError for op-1", err)
		}
	})
}
