package dispatch

import "time"

// exclusiveUse describes the use of an endpoint to which only its owner sends requests, or
// grants them. Its load needs no estimate: the owner counts each request.
type exclusiveUse struct {
	active bool
	// ownedSince is when this gateway became the owner, zero if it is not.
	ownedSince time.Time
}

// update records whether the use is exclusive now, and whether this gateway is the owner.
func (e *exclusiveUse) update(active, owned bool, now time.Time) {
	e.active = active
	switch {
	case !active || !owned:
		e.ownedSince = time.Time{}
	case e.ownedSince.IsZero():
		e.ownedSince = now
	}
}

// coldRateShares returns the number of gateways that share the rate limit of a cold endpoint.
// An owner that alone sends requests has all of it, once the requests that others sent before
// it became the owner no longer count.
func (d *Dispatcher) coldRateShares(state *endpointState, now time.Time) int {
	use := state.exclusive
	if use.active && !use.ownedSince.IsZero() && now.Sub(use.ownedSince) > sendRetention {
		return 1
	}
	return 1 + len(d.demandRatios)
}

// exactLoad is like totalLoad for an endpoint to which only its owner sends requests: the other
// live gateways have sent none since their digests.
func (s *endpointState) exactLoad(now time.Time, alive map[string]float64) (running, pendingPrefill int, digestAge time.Duration) {
	running, pendingPrefill = s.running+s.borrowed.orphaned(alive), s.pendingPrefill
	for name, load := range s.peerLoads {
		if _, exists := alive[name]; exists {
			running += load.running
			pendingPrefill += load.pendingPrefill
			digestAge = max(digestAge, now.Sub(load.receivedAt))
		}
	}
	return running, pendingPrefill, digestAge
}
