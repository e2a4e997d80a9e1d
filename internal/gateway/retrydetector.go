package gateway

import (
	"sync"
	"time"
)

// firstAttemptRatio is the fraction of a route's longest client timeout below which a
// request counts as a retry. Clients send their remaining time: first attempts differ by
// about 15%, and a client that was refused has waited for longer than that.
const firstAttemptRatio = 0.8

// retryDetector records the longest client timeout of each route to distinguish first
// attempts from retries. It is safe for concurrent use.
type retryDetector struct {
	mu              sync.Mutex
	longestTimeouts map[string]time.Duration
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
		d.longestTimeouts = map[string]time.Duration{}
	}
	d.longestTimeouts[route] = max(d.longestTimeouts[route], timeout)
	return timeout < time.Duration(firstAttemptRatio*float64(d.longestTimeouts[route]))
}
