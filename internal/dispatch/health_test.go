package dispatch

import (
	"testing"
	"time"
)

// Guards against an endpoint that is excluded for seconds after one silence, because all requests
// that were withdrawn from it at that moment count.
func TestWithdrawalsOfOneMomentCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for range 6 {
		h.recordUnresponsive(now)
		now = now.Add(time.Millisecond)
	}
	if h.inBackoff(now.Add(initialBackoff)) || h.degraded(now) {
		t.Errorf("excluded until %s later, degraded %t; want %s at most and false", h.backoffUntil.Sub(now), h.degraded(now), initialBackoff)
	}
	now = now.Add(initialBackoff)
	h.recordUnresponsive(now)
	if !h.inBackoff(now.Add(initialBackoff)) {
		t.Errorf("excluded until %s after another silence, want longer than %s", h.backoffUntil.Sub(now), initialBackoff)
	}
}
