package gateway

import (
	"maps"
	"sync"
	"time"
)

// activityRetention is how long the activity of an endpoint is remembered. It exceeds the time
// for which a request can be pending.
const activityRetention = time.Minute

// endpointActivity holds when the gateway last received anything from each endpoint. It is safe for
// concurrent use.
type endpointActivity struct {
	mu         sync.Mutex
	receivedAt map[string]time.Time
}

// record records that something was received from an endpoint.
func (a *endpointActivity) record(endpoint string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.receivedAt == nil {
		a.receivedAt = map[string]time.Time{}
	}
	a.receivedAt[endpoint] = time.Now()
}

// since reports whether anything was received from an endpoint after a time.
func (a *endpointActivity) since(endpoint string, at time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.receivedAt[endpoint].After(at)
}

// sweep forgets endpoints from which nothing was received for a long time.
func (a *endpointActivity) sweep() {
	a.mu.Lock()
	defer a.mu.Unlock()
	maps.DeleteFunc(a.receivedAt, func(_ string, at time.Time) bool { return time.Since(at) > activityRetention })
}
