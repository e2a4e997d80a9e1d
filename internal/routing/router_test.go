package routing

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against endpoints that are tried before the end of the pause that they asked for,
// because another request to them failed with a shorter one.
func TestShorterPauseShortensNoLongerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long, short = 5 * time.Second, 10 * time.Millisecond
		r := &Router{}
		start := time.Now()
		r.Pause("endpoint", long)
		r.Pause("endpoint", short)
		r.PauseAfterFailure("endpoint")
		if got := r.stateOf("endpoint").pausedUntil.Sub(start); got != long {
			t.Errorf("the endpoint is paused for %s, want %s", got, long)
		}
		time.Sleep(long)
		r.Pause("endpoint", short)
		if got := r.stateOf("endpoint").pausedUntil.Sub(start); got != long+short {
			t.Errorf("the endpoint is paused until %s after the start, want %s", got, long+short)
		}
	})
}
