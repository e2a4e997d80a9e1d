package freshness_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/freshness"
)

func TestVerdicts(t *testing.T) {
	zones := []string{"a", "b", "c"}
	synctest.Test(t, func(t *testing.T) {
		tracker := freshness.NewTracker()
		got := []freshness.Verdict{tracker.Judge(time.Now(), zones)}
		tracker.ConfirmStore(time.Now())
		got = append(got, tracker.Judge(time.Now(), zones))
		time.Sleep(freshness.MaxAge + time.Millisecond)
		got = append(got, tracker.Judge(time.Now(), zones))
		tracker.ConfirmZone("a", time.Now())
		got = append(got, tracker.Judge(time.Now(), zones))
		// Another process's ages count from the time they were written.
		tracker.Merge(freshness.Ages{Zones: map[string]time.Duration{"b": time.Second}}, time.Now())
		got = append(got, tracker.Judge(time.Now(), zones))
		time.Sleep(freshness.MaxAge - time.Second + time.Millisecond)
		got = append(got, tracker.Judge(time.Now(), zones))
		want := []freshness.Verdict{freshness.Stale, freshness.ByStore, freshness.Stale, freshness.Stale, freshness.ByMajority, freshness.Stale}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("verdicts (-want +got):\n%s", diff)
		}
	})
}

// Half of the zones is no majority: two halves must not both act.
func TestHalfIsNoMajority(t *testing.T) {
	tracker := freshness.NewTracker()
	tracker.ConfirmZone("a", time.Now())
	tracker.ConfirmZone("b", time.Now())
	if got := tracker.Judge(time.Now(), []string{"a", "b", "c", "d"}); got != freshness.Stale {
		t.Errorf("verdict %v, want stale", got)
	}
}
