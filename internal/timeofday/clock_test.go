package timeofday

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against recorded times that follow a step ahead of the clock, and against a clock that is
// never corrected.
func TestStepsAheadDoNotShow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		clock := New()
		step := 2400 * time.Millisecond
		var behind []time.Duration
		for _, systemStep := range []time.Duration{0, step, 0, -step} {
			for range 10 {
				time.Sleep(time.Second)
				clock.observe(time.Now().Round(0).Add(systemStep))
			}
			behind = append(behind, time.Since(start)-clock.Now().Sub(start))
		}
		if diff := cmp.Diff([]time.Duration{0, 0, 0, step}, behind); diff != "" {
			t.Errorf("how far the clock is behind after no step, a step ahead, none and one back (-want +got):\n%s", diff)
		}
		for range 2 {
			time.Sleep(stepWindow)
			clock.observe(time.Now().Round(0))
		}
		if diff := cmp.Diff(time.Since(start), clock.Now().Sub(start)); diff != "" {
			t.Errorf("time after the step back was corrected (-want +got):\n%s", diff)
		}
	})
}
