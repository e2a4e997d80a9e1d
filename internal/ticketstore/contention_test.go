package ticketstore_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
)

// Guards against an operator who is told that the outcome is unknown and that the store did
// not respond, although others took each number first and the ticket was certainly not filed.
func TestLostNumbersAreNoUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		others, filed := newStore(objects), 0
		store := &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: func(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
			if method == "PUT" {
				filed++
				if _, err := others.File(ctx, zoneTicket("ben", fmt.Sprint("zone-", filed), 0), fmt.Sprint("other-", filed)); err != nil {
					t.Error(err)
				}
			}
			return objects.RoundTrip(ctx, method, url, body)
		}}}
		_, err := store.File(t.Context(), zoneTicket("aya", "a", 0), "op-1")
		var lost *ticketstore.ContentionError
		if !errors.As(err, &lost) || lost.Attempts != filed || filed == 0 {
			t.Errorf("after %d lost numbers: %v, want a ContentionError", filed, err)
		}
		loaded, err := store.Load(t.Context())
		if err != nil || loaded.UpTo != int64(filed) {
			t.Errorf("the store has %d tickets, want the %d of the others: %v", loaded.UpTo, filed, err)
		}
	})
}
