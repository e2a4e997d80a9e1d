package gateway

import (
	"sync/atomic"
	"time"
)

const (
	// discoveryTime is how long a new gateway waits for the first other one before it relies
	// on the object store alone.
	discoveryTime = 400 * time.Millisecond
	// maxCatchUpTime is how long it waits for what another gateway knows.
	maxCatchUpTime = 3 * time.Second
)

// startup determines when a gateway that has just started may serve requests. The object store
// may have returned from an older copy of itself, while the other gateways know what was
// confirmed since. It is safe for concurrent use.
type startup struct {
	startedAt time.Time
	done      atomic.Bool
}

// complete reports whether the configuration may be used. restored reports whether the gateway
// knows what earlier ones recorded, and caughtUp whether it knows what the others know, and whether
// there are others.
func (s *startup) complete(restored func() bool, caughtUp func() (caughtUp, known bool)) bool {
	if s.done.Load() {
		return true
	}
	age := time.Since(s.startedAt)
	done, known := caughtUp()
	if ((known && done) || (!known && age > discoveryTime) || age > maxCatchUpTime) && restored() {
		s.done.Store(true)
	}
	return s.done.Load()
}
