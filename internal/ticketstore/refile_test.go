package ticketstore_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// Guards against an operator who repeats an operation of unknown outcome late, as the error
// advises, and files its ticket twice because it precedes the checkpoint.
func TestLateRepeatFilesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(fakes.NewObjectStore())
		var tickets []ticket.Ticket
		for index := range 150 {
			tickets = append(tickets, zoneTicket("aya", fmt.Sprint("zone-", index%7), 0))
		}
		filed := fileAll(t, store, tickets, checkpointAfterEach(t, store))
		for _, index := range []int{0, 1, 63, 64, 100, 149} {
			record, err := store.File(t.Context(), tickets[index], fmt.Sprint("op-", index))
			if err != nil || record.Ticket.Number != int64(index)+1 {
				t.Errorf("repeated operation of ticket %d: ticket %d, %v", index+1, record.Ticket.Number, err)
			}
		}
		loaded, err := store.Load(t.Context())
		if err != nil || loaded.UpTo != filed.UpTo() {
			t.Errorf("the store has %d tickets after the repeats, want %d: %v", loaded.UpTo, filed.UpTo(), err)
		}
	})
}
