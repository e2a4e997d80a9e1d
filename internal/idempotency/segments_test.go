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

// claimAll claims the keys in batches and records how each call ended. It
// returns the verdicts by their number.
func claimAll(ctx context.Context, writer *idempotency.Writer, keys []string, attempt string, result *idempotency.Result) map[idempotency.Verdict]int {
	const batch = 200
	counts := map[idempotency.Verdict]int{}
	for start := 0; start < len(keys); start += batch {
		part := keys[start:min(start+batch, len(keys))]
		verdicts := make([]idempotency.Verdict, len(part))
		group := concurrency.NewGroup(ctx)
		for index, key := range part {
			group.Go(func(ctx context.Context) {
				verdicts[index] = writer.Claim(ctx, claim(key, attempt)).Verdict
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

// A range takes far more keys than one object holds, each remembers its
// answer, and a process that takes the range over knows all of them.
func TestRangeOutgrowsOneObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		result := &idempotency.Result{Status: 201, Body: make([]byte, 2<<10)}
		keys := fakes.KeysOfRange(3000)
		first, second := newWriter(objects), newWriter(objects)
		if got := claimAll(t.Context(), first, keys, "a", result); got[idempotency.Run] != len(keys) {
			t.Fatalf("verdicts of %d new keys: %v", len(keys), got)
		}
		first.Claim(t.Context(), claim(keys[0], "flush"))
		if got := claimAll(t.Context(), second, keys, "b", result); got[idempotency.Repeated] != len(keys) {
			t.Errorf("verdicts of %d keys at the next owner: %v", len(keys), got)
		}
	})
}

// Keys past their retention are forgotten and their objects deleted.
func TestOldSegmentsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		writer := newWriter(objects)
		keys := fakes.KeysOfRange(3600)
		result := &idempotency.Result{Status: 201}
		claimAll(t.Context(), writer, keys[:3000], "a", result)
		full := objects.Stored("keys/")
		for _, key := range keys[3000:] {
			time.Sleep(idempotency.Retention / 200)
			claimAll(t.Context(), writer, []string{key}, "a", result)
		}
		if left := objects.Stored("keys/"); left >= full {
			t.Errorf("%d objects after the retention, %d before", left, full)
		}
		if got := claimAll(t.Context(), writer, keys[:500], "b", result); got[idempotency.Run] != 500 {
			t.Errorf("verdicts of keys past their retention: %v", got)
		}
	})
}

// An owner that gave an attempt up does not release it: the attempt may have
// got its claim from another owner.
func TestOwnerDoesNotReleaseAnAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		first, second := newWriter(objects), newWriter(objects)
		objects.SetFaults(fakes.ObjectFaults{Down: true})
		got := []idempotency.Verdict{first.Claim(t.Context(), claim("k", "a")).Verdict}
		objects.SetFaults(fakes.ObjectFaults{})
		got = append(got,
			second.Claim(t.Context(), claim("k", "a")).Verdict,
			first.Claim(t.Context(), claim("k", "b")).Verdict,
			first.Claim(t.Context(), claim("k", "c")).Verdict)
		want := []idempotency.Verdict{idempotency.Unavailable, idempotency.Run, idempotency.Unknown, idempotency.Unknown}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

// A caller that was told "not run" because a claim could not be confirmed may
// repeat the call, also if the claim was stored after all.
func TestUnconfirmedClaimIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		down := false
		writer := &idempotency.Writer{Objects: &platformclient.ObjectAPI{HTTP: func(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
			if down && method == "GET" {
				return 503, nil, nil
			}
			status, answer, err := objects.HTTP(ctx, method, url, body)
			if down {
				return 0, nil, context.DeadlineExceeded
			}
			return status, answer, err
		}}}
		claims := &idempotency.Claims{Roster: membership.NewStore(), Writer: writer}
		keys := fakes.KeysOfRange(2)
		claims.Claim(t.Context(), claim(keys[0], "a"))
		down = true
		lost := claims.Claim(t.Context(), claim(keys[1], "a"))
		down = false
		again := claims.Claim(t.Context(), claim(keys[1], "b"))
		late := writer.Claim(t.Context(), claim(keys[1], "a"))
		want := []idempotency.Verdict{idempotency.Unavailable, idempotency.Run, idempotency.Unknown}
		if diff := cmp.Diff(want, []idempotency.Verdict{lost.Verdict, again.Verdict, late.Verdict}); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

// An answer that is too large to keep is repeated by its status alone.
func TestLargeAnswerIsRepeatedByItsStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := newWriter(fakes.NewObjectStore())
		writer.Claim(t.Context(), claim("k", "a"))
		large := &idempotency.Result{Status: 201, Headers: []upstream.Header{{Name: "Location", Value: "/b"}}, Body: make([]byte, 2<<10)}
		writer.Update(idempotency.Update{Key: "k", Attempt: "a", Status: idempotency.Done, Result: large})
		want := idempotency.Decision{Verdict: idempotency.Repeated, Result: &idempotency.Result{Status: 201}}
		if diff := cmp.Diff(want, writer.Claim(t.Context(), claim("k", "b"))); diff != "" {
			t.Errorf("repeated call (-want +got):\n%s", diff)
		}
	})
}
