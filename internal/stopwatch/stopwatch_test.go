package stopwatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/stopwatch"
)

// Guards against ages that leave out the time for which the machine was suspended.
func TestElapsedIncludesSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bootTime := time.Hour
		watch := stopwatch.Start(func() time.Duration { return bootTime })
		time.Sleep(time.Second)
		bootTime += 5 * time.Second
		if diff := cmp.Diff(5*time.Second, watch.Elapsed()); diff != "" {
			t.Errorf("elapsed time with a suspension (-want +got):\n%s", diff)
		}
	})
}

// Guards against a system without the clock, on which suspensions would not be noticed.
func TestBootTimeAdvances(t *testing.T) {
	before := stopwatch.BootTime()
	time.Sleep(10 * time.Millisecond)
	if advanced := stopwatch.BootTime() - before; advanced < 10*time.Millisecond {
		t.Errorf("the boot time advanced by %v in 10 ms", advanced)
	}
}
