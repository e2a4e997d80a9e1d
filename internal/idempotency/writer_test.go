package idempotency_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/idempotency"
	"github.com/mimosaward/mimosaward/internal/platformclient"
)

func newWriter(objects *fakes.ObjectStore) *idempotency.Writer {
	delayed := func(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
		time.Sleep(5 * time.Millisecond)
		return objects.RoundTrip(ctx, method, url, body)
	}
	return &idempotency.Writer{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: delayed}}
}

func newClaim(key, attempt string) idempotency.Claim {
	return idempotency.Claim{Key: key, Attempt: attempt, Body: "body"}
}

func TestVerdicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		writer := newWriter(fakes.NewObjectStore())
		ctx := t.Context()
		result := &idempotency.Result{Status: 201, Body: []byte("booked")}
		got := []idempotency.Verdict{
			writer.Claim(ctx, newClaim("k", "a")).Verdict,
			writer.Claim(ctx, newClaim("k", "a")).Verdict,
			writer.Claim(ctx, newClaim("k", "b")).Verdict,
			writer.Claim(ctx, idempotency.Claim{Key: "k", Attempt: "c", Body: "other"}).Verdict,
		}
		writer.Update(idempotency.Update{Key: "k", Attempt: "a", Status: idempotency.Released})
		got = append(got, writer.Claim(ctx, newClaim("k", "d")).Verdict)
		writer.Update(idempotency.Update{Key: "k", Attempt: "d", Status: idempotency.Done, Result: result})
		// A late update from an attempt that no longer has the claim is ignored.
		writer.Update(idempotency.Update{Key: "k", Attempt: "a", Status: idempotency.Released})
		last := writer.Claim(ctx, newClaim("k", "e"))
		got = append(got, last.Verdict)
		want := []idempotency.Verdict{
			idempotency.Run, idempotency.Run, idempotency.Unknown, idempotency.Mismatch, idempotency.Run, idempotency.Repeated,
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(result, last.Result); diff != "" {
			t.Errorf("result (-want +got):\n%s", diff)
		}
	})
}

// Checks that at most one attempt per key may run when two writers both act as the
// owner of a partition and the object store loses responses.
func TestTwoWritersOfOnePartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		objects := fakes.NewObjectStore()
		objects.SetFaults(fakes.ObjectFaults{LoseResponses: 0.3})
		writers := []*idempotency.Writer{newWriter(objects), newWriter(objects)}
		for key := range 40 {
			verdicts := make([]idempotency.Verdict, len(writers))
			group := concurrency.NewGroup(t.Context())
			for index, writer := range writers {
				group.Go(func(ctx context.Context) {
					verdicts[index] = writer.Claim(ctx, newClaim(fmt.Sprint("k", key), fmt.Sprint(index))).Verdict
				})
			}
			group.Wait()
			if verdicts[0] == idempotency.Run && verdicts[1] == idempotency.Run {
				t.Fatalf("both attempts for key %d may run", key)
			}
		}
	})
}

// Checks that claims share writes, so that the writes stay far below the rate limit
// of the object API at any load.
func TestClaimsShareWrites(t *testing.T) {
	for _, perSecond := range []int{10, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			const seconds = 10
			objects := fakes.NewObjectStore()
			writer := newWriter(objects)
			calls := seconds * perSecond
			group := concurrency.NewGroup(t.Context())
			for index := range calls {
				group.Go(func(ctx context.Context) {
					time.Sleep(time.Duration(index) * time.Second / time.Duration(perSecond))
					if got := writer.Claim(ctx, newClaim(fmt.Sprint("k", index), "a")).Verdict; got != idempotency.Run {
						t.Errorf("claim %d: %s", index, got)
					}
				})
			}
			group.Wait()
			counts := objects.Counts()
			t.Logf("%d claims per second: %.3f writes per claim", perSecond, float64(counts.Writes)/float64(calls))
			if writes := counts.Writes / seconds; writes > 400 || counts.RateLimited > 0 {
				t.Errorf("%d claims per second: %d writes per second and %d rate-limited calls, want at most 400 and 0", perSecond, writes, counts.RateLimited)
			}
		})
	}
}
