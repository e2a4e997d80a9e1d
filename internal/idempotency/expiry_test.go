package idempotency

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/platformclient"
)

// Guards against an owner that holds the keys of all deleted segments in memory for as long
// as it writes without a conflict.
func TestDeletedSegmentsLeaveMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := &platformclient.ObjectAPI{HTTP: func(context.Context, string, string, []byte) (int, []byte, error) {
			return 200, []byte("{}"), nil
		}}
		segments := newWriteQueue(0, objects).segments
		head := &journal{Entries: map[keyHash]Entry{}}
		const count = 3
		for id := int64(1); id <= count; id++ {
			entries := map[keyHash]Entry{hashKey(fmt.Sprint(id)): {Attempt: "a", Status: Done, At: time.Now()}}
			if err := segments.seal(context.Background(), id, entries); err != nil {
				t.Fatal(err)
			}
			head.Segments = append(head.Segments, segmentRef{ID: id, Newest: time.Now()})
			time.Sleep(Retention)
		}
		b, err := newBatch(t.Context(), head, count, segments)
		if err != nil {
			t.Fatal(err)
		}
		if len(b.head.Segments) == count || len(segments.keys) != len(b.head.Segments) {
			t.Errorf("the index holds the keys of %d segments, the journal lists %d", len(segments.keys), len(b.head.Segments))
		}
		time.Sleep(Retention)
		if b, err = newBatch(t.Context(), &b.head, count, segments); err != nil {
			t.Fatal(err)
		}
		if len(b.head.Segments) != 0 || len(segments.keys) != 0 || len(segments.cached.Entries) != 0 {
			t.Errorf("after all segments were deleted, the journal lists %d, the index holds %d and %d cached entries", len(b.head.Segments), len(segments.keys), len(segments.cached.Entries))
		}
	})
}
