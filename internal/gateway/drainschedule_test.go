package gateway

import (
	"testing"
	"time"
)

// Guards against a stop that accepts a request without the time to serve it, or that exits
// after the grace period, whatever its length.
func TestDrainScheduleFitsGracePeriod(t *testing.T) {
	start := time.Now()
	for _, grace := range []time.Duration{100 * time.Millisecond, time.Second, 3 * time.Second, 8 * time.Second, time.Hour} {
		schedule := newDrainSchedule(start, grace)
		if !schedule.exitAt.Before(start.Add(grace)) || schedule.cutAt.Before(start.Add(grace-grace/6)) {
			t.Errorf("grace period %s: requests are cut after %s, exit after %s", grace, schedule.cutAt.Sub(start), schedule.exitAt.Sub(start))
		}
		late := schedule.cutAt.Add(-time.Millisecond)
		for _, test := range []struct {
			deadline, now time.Time
			want          bool
		}{
			{deadline: schedule.exitAt, now: start, want: true},
			{deadline: schedule.exitAt, now: late, want: false},
			{deadline: late, now: late.Add(-time.Millisecond), want: true},
			{deadline: schedule.exitAt, now: schedule.cutAt, want: false},
			{deadline: schedule.cutAt, now: schedule.cutAt, want: false},
		} {
			if got := schedule.accepts(test.deadline, test.now); got != test.want {
				t.Errorf("grace period %s: accepts(deadline %s, now %s) = %t", grace, test.deadline.Sub(start), test.now.Sub(start), got)
			}
		}
	}
}
