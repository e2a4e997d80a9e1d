package freshness_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/freshness"
)

func TestStatus(t *testing.T) {
	zones := []string{"a", "b", "c"}
	synctest.Test(t, func(t *testing.T) {
		tracker := freshness.NewTracker()
		got := []freshness.Status{tracker.Status(time.Now(), zones)}
		tracker.ConfirmStore(time.Now())
		got = append(got, tracker.Status(time.Now(), zones))
		time.Sleep(freshness.MaxAge + time.Millisecond)
		got = append(got, tracker.Status(time.Now(), zones))
		tracker.ConfirmZone("a", time.Now())
		got = append(got, tracker.Status(time.Now(), zones))
		// The ages received from another process are relative to the time at
		// which it computed them.
		tracker.Merge(freshness.Ages{Zones: map[string]time.Duration{"b": time.Second}}, time.Now())
		got = append(got, tracker.Status(time.Now(), zones))
		time.Sleep(freshness.MaxAge - time.Second + time.Millisecond)
		got = append(got, tracker.Status(time.Now(), zones))
		want := []freshness.Status{freshness.Stale, freshness.ConfirmedByStore, freshness.Stale, freshness.Stale, freshness.ConfirmedByMajority, freshness.Stale}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("statuses (-want +got):\n%s", diff)
		}
	})
}

// Half of the zones is not a majority: after a partition into two halves, both
// would act on their configuration.
func TestHalfOfZonesIsNoMajority(t *testing.T) {
	tracker := freshness.NewTracker()
	tracker.ConfirmZone("a", time.Now())
	tracker.ConfirmZone("b", time.Now())
	if got := tracker.Status(time.Now(), []string{"a", "b", "c", "d"}); got != freshness.Stale {
		t.Errorf("status %v, want stale", got)
	}
}

// A reader that has caught up with other zones has received the state of at least
// one zone of every majority that may have accepted a ticket, even if its own zone
// was part of that majority.
func TestCaughtUpIntersectsEveryMajority(t *testing.T) {
	all := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	for count := 1; count <= len(all); count++ {
		zones := all[:count]
		for confirming := range 1 << count {
			tracker := freshness.NewTracker()
			now := time.Now()
			tracker.ConfirmZone(zones[0], now)
			unconfirmed := 1
			for index, zone := range zones[1:] {
				if confirming&(2<<index) != 0 {
					tracker.ConfirmZone(zone, now)
				} else {
					unconfirmed++
				}
			}
			// The own zone and the unconfirmed zones may have accepted a ticket that
			// the confirming zones lack.
			mayMiss := 2*unconfirmed > count
			if tracker.CaughtUp(zones[0], zones, now) && mayMiss {
				t.Errorf("%d zones, confirming %b: caught up, although a majority may have accepted a missing ticket", count, confirming)
			}
		}
	}
}
