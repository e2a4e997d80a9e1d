package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a route whose clients once sent a long timeout: all first attempts with the
// usual one counted as retries for good, and were refused instead of queued.
func TestLongestTimeoutFalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var detector retryDetector
		const usual, long = 5 * time.Second, time.Minute
		detector.observe("route", usual)
		if detector.observe("route", usual) || !detector.observe("route", usual/2) {
			t.Fatal("a first attempt counts as a retry, or a retry as a first attempt")
		}
		detector.observe("route", long)
		if !detector.observe("route", usual) {
			t.Error("right after a long timeout, a shorter one does not count as a retry")
		}
		for start := time.Now(); time.Since(start) < 2*long; time.Sleep(100 * time.Millisecond) {
			detector.observe("route", usual)
		}
		if detector.observe("route", usual) || !detector.observe("route", usual/2) {
			t.Error("long after a single long timeout, first attempts count as retries, or retries as first attempts")
		}
	})
}
