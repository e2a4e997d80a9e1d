package gateway

import (
	"sync"
	"time"
)

// firstAttemptRatio is the fraction of a route's longest client timeout below which a
// request counts as a retry. Clients send their remaining time: first attempts differ by
// about 15%, and a client that was refused has waited for longer than that.
const firstAttemptRatio = 0.8

// longestTimeoutWindow is the length of the windows over which the longest client timeout of a
// route is tracked. It exceeds the time within which clients retry.
const longestTimeoutWindow = time.Minute

// retryDetector records the longest recent client timeout of each route to distinguish first
// attempts from retries. It is safe for concurrent use.
type retryDetector struct {
	mu              sync.Mutex
	longestTimeouts map[string]longestTimeout
}

// longestTimeout is the longest client timeout in the current and in the previous window.
type longestTimeout struct {
	current, previous time.Duration
	windowEnd         time.Time
}

// record adds a timeout and returns the longest one.
func (l *longestTimeout) record(timeout time.Duration, now time.Time) time.Duration {
	switch {
	case now.Sub(l.windowEnd) >= longestTimeoutWindow:
		l.previous, l.current, l.windowEnd = 0, 0, now.Add(longestTimeoutWindow)
	case !now.Before(l.windowEnd):
		l.previous, l.current, l.windowEnd = l.current, 0, l.windowEnd.Add(longestTimeoutWindow)
	}
	l.current = max(l.current, timeout)
	return max(l.current, l.previous)
}

// observe records a client's timeout and reports whether the request is a retry. Requests
// without a timeout count as first attempts.
func (d *retryDetector) observe(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longestTimeouts == nil {
		d.longestTimeouts = map[string]longestTimeout{}
	}
	recent := d.longestTimeouts[route]
	longest := recent.record(timeout, time.Now())
	d.longestTimeouts[route] = recent
	return timeout < time.Duration(firstAttemptRatio*float64(longest))
}
