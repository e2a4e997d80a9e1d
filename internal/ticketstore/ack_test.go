package ticketstore_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
)

// Guards against a majority that is not seen because its acknowledgements are on a later page.
func TestAcksOfAllPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 1200
		store := newStore(fakes.NewObjectStore())
		var zones []string
		for index := range count {
			zones = append(zones, fmt.Sprintf("zone-%04d", index))
			if err := store.WriteAck(t.Context(), ticketstore.Ack{Zone: zones[index], UpTo: 1}); err != nil {
				t.Fatal(err)
			}
			// The store limits the rate of requests.
			time.Sleep(10 * time.Millisecond)
		}
		acks, err := store.Acks(t.Context())
		if err != nil || len(acks) != count {
			t.Errorf("%d of %d acknowledgements were read: %v", len(acks), count, err)
		}
		if last := zones[count-1:]; !ticketstore.InForce(1, last, acks) {
			t.Errorf("ticket 1 is not in force although %v acknowledged it", last)
		}
	})
}
