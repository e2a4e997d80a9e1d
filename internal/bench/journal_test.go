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

// journalMeasurement holds the cost per key in one partition of idempotency keys.
type journalMeasurement struct {
	Kind string `json:"figure"`
	// Keys is the number of keys in the partition.
	Keys           int     `json:"keys"`
	WritesPerKey   float64 `json:"writesPerKey"`
	BytesPerKey    float64 `json:"bytesPerKey"`
	Objects        int     `json:"objects"`
	TakeoverReads  int64   `json:"takeoverReads"`
	HeapBytes      uint64  `json:"heapBytes"`
	SecondsForKeys float64 `json:"secondsForKeys"`
}

// TestCostsOfKeys measures one partition of idempotency keys as it grows. It
// guards against a cost per key that rises with the number of keys already
// stored.
func TestCostsOfKeys(t *testing.T) {
	const allowedGrowth = 1.25
	var smallest journalMeasurement
	for _, keys := range []int{2000, 8000, 24000} {
		synctest.Test(t, func(t *testing.T) {
			measurement := measureJournal(t, keys)
			printMeasurement(t, measurement)
			if smallest.Keys == 0 {
				smallest = measurement
			}
			if measurement.BytesPerKey > allowedGrowth*smallest.BytesPerKey || measurement.WritesPerKey > allowedGrowth*smallest.WritesPerKey {
				t.Errorf("cost per key is more than a quarter higher with %d keys than with %d: %+v, %+v", keys, smallest.Keys, measurement, smallest)
			}
		})
	}
}

func measureJournal(t *testing.T, count int) journalMeasurement {
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
			group.Go(func(ctx context.Context) { claimAndComplete(ctx, t, writer, key) })
		}
		group.Wait()
	}
	measurement := journalMeasurement{
		Kind: "idempotencyJournal", Keys: count, Objects: objects.CountObjects("keys/"), SecondsForKeys: time.Since(start).Seconds(),
		WritesPerKey: float64(api.Writes()) / float64(count), BytesPerKey: float64(written) / float64(count),
	}
	successorAPI := &platformclient.ObjectAPI{HTTP: objects.RoundTrip}
	extraKey := fakes.KeysInPartition(count + 1)[count]
	var owner any
	measurement.HeapBytes, owner = measureHeap(func() any {
		writer := &idempotency.Writer{Objects: successorAPI}
		claimAndComplete(t.Context(), t, writer, extraKey)
		return writer
	})
	runtime.KeepAlive(owner)
	measurement.TakeoverReads = successorAPI.Reads()
	return measurement
}

func claimAndComplete(ctx context.Context, t *testing.T, writer *idempotency.Writer, key string) {
	t.Helper()
	if got := writer.Claim(ctx, idempotency.Claim{Key: key, Attempt: "a", Body: "0123456789abcdef"}); got.Verdict != idempotency.Run {
		t.Errorf("verdict for the first claim of key %s is %s, want run", key, got.Verdict)
	}
	result := &idempotency.Result{Status: 201, ContentType: "application/json", Body: []byte(`{"booking":"b-102938"}`)}
	writer.Update(idempotency.Update{Key: key, Attempt: "a", Status: idempotency.Done, Result: result})
}
