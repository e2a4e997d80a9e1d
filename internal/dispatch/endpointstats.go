package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// EndpointStats summarizes the load and health of an endpoint.
type EndpointStats struct {
	ID             string
	Running        int
	PendingPrefill int
	// FailureRate is the recent fraction of requests that failed at the endpoint.
	FailureRate float64
	// StatusAge is the age of the last status from the engine's loader, 0 if there is
	// none.
	StatusAge time.Duration
	// Announcement is what the endpoint said about itself.
	Announcement clusterstate.Announcement
	// Slowness is the factor by which work takes longer than usual according to the endpoint's
	// reports, 0 if it does not report its speed.
	Slowness float64
}

// EndpointStats returns the statistics of each endpoint, ordered by ID.
func (d *Dispatcher) EndpointStats() []EndpointStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	list := make([]EndpointStats, 0, len(d.endpoints))
	for id, state := range d.endpoints {
		stats := EndpointStats{ID: id, FailureRate: state.health.decayedFailureRate(now), Announcement: state.announced.Announcement}
		stats.Running, stats.PendingPrefill, _ = state.totalLoad(now, d.demandRatios)
		if !state.statusAt.IsZero() {
			stats.StatusAge = now.Sub(state.statusAt)
		}
		if state.load.ReportsSpeed() {
			stats.Slowness = state.load.Slowness(now)
		}
		list = append(list, stats)
	}
	slices.SortFunc(list, func(a, b EndpointStats) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
