package gateway

import (
	"sync"
	"time"
)

// firstAttemptRatio is the part of the longest patience of a route's callers above which a
// caller counts as one that comes for the first time: the patience of callers differs by
// some 15%, and one that was refused has waited for longer than that.
const firstAttemptRatio = 0.8

// retryDetector remembers the longest patience of the callers of each route. It is safe for
// concurrent use.
type retryDetector struct {
	mu              sync.Mutex
	longestTimeouts map[string]time.Duration
}

// observe notes a caller's patience and reports whether it has asked before.
func (d *retryDetector) observe(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.longestTimeouts == nil {
		d.longestTimeouts = map[string]time.Duration{}
	}
	d.longestTimeouts[route] = max(d.longestTimeouts[route], timeout)
	return timeout < time.Duration(firstAttemptRatio*float64(d.longestTimeouts[route]))
}
