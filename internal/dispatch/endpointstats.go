package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// EndpointStats is what a dispatcher knows about an endpoint.
type EndpointStats struct {
	ID             string
	Running        int
	PendingPrefill int
	// FailureRate is the recent share of requests that the endpoint failed.
	FailureRate float64
	// StatusAge is the age of what the engine's loader said; 0 if it never did.
	StatusAge time.Duration
}

// EndpointStats returns what is known about each endpoint, ordered by ID.
func (d *Dispatcher) EndpointStats() []EndpointStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	list := make([]EndpointStats, 0, len(d.endpoints))
	for id, state := range d.endpoints {
		stats := EndpointStats{ID: id, FailureRate: state.health.decayedFailureRate(now)}
		stats.Running, stats.PendingPrefill, _ = state.totalLoad(now, d.demandRatios)
		if !state.statusAt.IsZero() {
			stats.StatusAge = now.Sub(state.statusAt)
		}
		list = append(list, stats)
	}
	slices.SortFunc(list, func(a, b EndpointStats) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
