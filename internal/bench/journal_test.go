package bench

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/idempotency"
	"github.com/mimosaward/mimosaward/internal/platformclient"
)

// journalFigure is what the keys of one range cost after many calls.
type journalFigure struct {
	Figure string `json:"figure"`
	// Keys is the number of keys that the range holds.
	Keys           int     `json:"keys"`
	WritesPerKey   float64 `json:"writesPerKey"`
	BytesPerKey    float64 `json:"bytesPerKey"`
	Objects        int     `json:"objects"`
	TakeoverReads  int64   `json:"takeoverReads"`
	HeapBytes      uint64  `json:"heapBytes"`
	SecondsForKeys float64 `json:"secondsForKeys"`
}

// TestCostsOfKeys measures one range of idempotency keys as its history grows:
// a key must not cost more because others were kept before it.
func TestCostsOfKeys(t *testing.T) {
	const allowedGrowth = 1.25
	var smallest journalFigure
	for _, keys := range []int{2000, 8000, 24000} {
		synctest.Test(t, func(t *testing.T) {
			figure := measureJournal(t, keys)
			printFigure(t, figure)
			if smallest.Keys == 0 {
				smallest = figure
			}
			if figure.BytesPerKey > allowedGrowth*smallest.BytesPerKey || figure.WritesPerKey > allowedGrowth*smallest.WritesPerKey {
				t.Errorf("a key costs more after %d keys than after %d: %+v, %+v", keys, smallest.Keys, figure, smallest)
			}
		})
	}
}

func measureJournal(t *testing.T, count int) journalFigure {
	t.Helper()
	const batch = 100
	objects := fakes.NewObjectStore()
	var written int64
	api := &platformclient.ObjectAPI{HTTP: func(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
		written += int64(len(body))
		return objects.RoundTrip(ctx, method, url, body)
	}}
	writer := &idempotency.Writer{Objects: api}
	keys := fakes.KeysInPartition(count)
	start := time.Now()
	for first := 0; first < count; first += batch {
		group := concurrency.NewGroup(t.Context())
		for _, key := range keys[first : first+batch] {
			group.Go(func(ctx context.Context) { claimAndEnd(ctx, t, writer, key) })
		}
		group.Wait()
	}
	figure := journalFigure{
		Figure: "idempotencyJournal", Keys: count, Objects: objects.CountObjects("keys/"), SecondsForKeys: time.Since(start).Seconds(),
		WritesPerKey: float64(api.Writes()) / float64(count), BytesPerKey: float64(written) / float64(count),
	}
	next := &platformclient.ObjectAPI{HTTP: objects.RoundTrip}
	spare := fakes.KeysInPartition(count + 1)[count]
	var owner any
	figure.HeapBytes, owner = heapOf(func() any {
		writer := &idempotency.Writer{Objects: next}
		claimAndEnd(t.Context(), t, writer, spare)
		return writer
	})
	runtime.KeepAlive(owner)
	figure.TakeoverReads = next.Reads()
	return figure
}

func claimAndEnd(ctx context.Context, t *testing.T, writer *idempotency.Writer, key string) {
	t.Helper()
	if got := writer.Claim(ctx, idempotency.Claim{Key: key, Attempt: "a", Body: "0123456789abcdef"}); got.Verdict != idempotency.Run {
		t.Errorf("claim of key %s: %s", key, got.Verdict)
	}
	result := &idempotency.Result{Status: 201, ContentType: "application/json", Body: []byte(`{"booking":"b-102938"}`)}
	writer.Update(idempotency.Update{Key: key, Attempt: "a", Status: idempotency.Done, Result: result})
}
