package idempotency_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/idempotency"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

// claimKeys claims the keys in batches and records each attempt that may run as
// done. It returns the number of claims by verdict.
func claimKeys(ctx context.Context, writer *idempotency.Writer, keys []string, attempt string, result *idempotency.Result) map[idempotency.Verdict]int {
	const batchSize = 200
	counts := map[idempotency.Verdict]int{}
	for start := 0; start < len(keys); start += batchSize {
		batch := keys[start:min(start+batchSize, len(keys))]
		verdicts := make([]idempotency.Verdict, len(batch))
		group := concurrency.NewGroup(ctx)
		for index, key := range batch {
			group.Go(func(ctx context.Context) {
				verdicts[index] = writer.Claim(ctx, newClaim(key, attempt)).Verdict
				if verdicts[index] == idempotency.Run {
					writer.Update(idempotency.Update{Key: key, Attempt: attempt, Status: idempotency.Done, Result: result})
				}
			})
		}
		group.Wait()
		for _, verdict := range verdicts {
			counts[verdict]++
		}
	}
	return counts
}

// Checks that a partition keeps the keys and results of far more calls than fit in
// one object, and that a process that takes over the partition finds all of them.
func TestPartitionLargerThanOneObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		result := &idempotency.Result{Status: 201, Body: make([]byte, 2<<10)}
		keys := fakes.KeysInPartition(3000)
		first, second := newWriter(objects), newWriter(objects)
		if got := claimKeys(t.Context(), first, keys, "a", result); got[idempotency.Run] != len(keys) {
			t.Fatalf("verdicts of %d new keys: %v", len(keys), got)
		}
		first.Claim(t.Context(), newClaim(keys[0], "flush"))
		if got := claimKeys(t.Context(), second, keys, "b", result); got[idempotency.Repeated] != len(keys) {
			t.Errorf("verdicts of %d keys from the next owner: %v", len(keys), got)
		}
	})
}

// Checks that keys past their retention can be claimed again and that their
// segments are deleted.
func TestExpiredSegmentsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		writer := newWriter(objects)
		keys := fakes.KeysInPartition(3600)
		result := &idempotency.Result{Status: 201}
		claimKeys(t.Context(), writer, keys[:3000], "a", result)
		before := objects.CountObjects("keys/")
		for _, key := range keys[3000:] {
			time.Sleep(idempotency.Retention / 200)
			claimKeys(t.Context(), writer, []string{key}, "a", result)
		}
		if after := objects.CountObjects("keys/"); after >= before {
			t.Errorf("%d objects after the retention period, want fewer than the %d before", after, before)
		}
		if got := claimKeys(t.Context(), writer, keys[:500], "b", result); got[idempotency.Run] != 500 {
			t.Errorf("verdicts of keys past their retention: %v", got)
		}
	})
}

// Checks that an owner that could not confirm a claim does not release it, because
// another owner may have granted the claim to the attempt.
func TestOwnerDoesNotReleaseUnconfirmedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		first, second := newWriter(objects), newWriter(objects)
		objects.SetFaults(fakes.ObjectFaults{Down: true})
		got := []idempotency.Verdict{first.Claim(t.Context(), newClaim("k", "a")).Verdict}
		objects.SetFaults(fakes.ObjectFaults{})
		got = append(got,
			second.Claim(t.Context(), newClaim("k", "a")).Verdict,
			first.Claim(t.Context(), newClaim("k", "b")).Verdict,
			first.Claim(t.Context(), newClaim("k", "c")).Verdict)
		want := []idempotency.Verdict{idempotency.Unavailable, idempotency.Run, idempotency.Unknown, idempotency.Unknown}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

// Checks that a client that received "not run" because its claim could not be
// confirmed may repeat the call, even if the claim was stored.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		failing := false
		writer := &idempotency.Writer{Objects: &platformclient.ObjectAPI{HTTP: func(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
			if failing && method == "GET" {
				return 503, nil, nil
			}
			status, response, err := objects.RoundTrip(ctx, method, url, body)
			if failing {
				return 0, nil, context.DeadlineExceeded
			}
			return status, response, err
		}}}
		router := &idempotency.ClaimRouter{Instances: membership.NewStore(), Writer: writer}
		keys := fakes.KeysInPartition(2)
		router.Claim(t.Context(), newClaim(keys[0], "a"))
		failing = true
		unconfirmed := router.Claim(t.Context(), newClaim(keys[1], "a"))
		failing = false
		retried := router.Claim(t.Context(), newClaim(keys[1], "b"))
		lateDuplicate := writer.Claim(t.Context(), newClaim(keys[1], "a"))
		want := []idempotency.Verdict{idempotency.Unavailable, idempotency.Run, idempotency.Unknown}
		if diff := cmp.Diff(want, []idempotency.Verdict{unconfirmed.Verdict, retried.Verdict, lateDuplicate.Verdict}); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

// Checks that only the status of a result that is too large to keep is repeated.
func TestLargeResultIsRepeatedByStatusOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := newWriter(fakes.NewObjectStore())
		writer.Claim(t.Context(), newClaim("k", "a"))
		largeResult := &idempotency.Result{Status: 201, Headers: []upstream.Header{{Name: "Location", Value: "/b"}}, Body: make([]byte, 2<<10)}
		writer.Update(idempotency.Update{Key: "k", Attempt: "a", Status: idempotency.Done, Result: largeResult})
		want := idempotency.Decision{Verdict: idempotency.Repeated, Result: &idempotency.Result{Status: 201}}
		if diff := cmp.Diff(want, writer.Claim(t.Context(), newClaim("k", "b"))); diff != "" {
			t.Errorf("repeated call (-want +got):\n%s", diff)
		}
	})
}
