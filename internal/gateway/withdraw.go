package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/event"
)

const (
	// withdrawInterval is how often the pending attempts are checked.
	withdrawInterval = 25 * time.Millisecond
	// withdrawMargin is how long before the end of its permission an attempt is withdrawn. It
	// covers the time by which the gateways learn of a change later than it is confirmed, the time
	// to the next check, and until the endpoint notices the reset.
	withdrawMargin = 300 * time.Millisecond
	// maxWatchDelay is how much later than the object store confirms a change the gateway usually
	// learns of it.
	maxWatchDelay = 500 * time.Millisecond
	// arrivalTime is the time from sending a request until an endpoint that is not silent has
	// read it.
	arrivalTime = 150 * time.Millisecond
)

// errWithdrawn reports an attempt that the gateway ended because it may not begin any more.
var errWithdrawn = errors.New("the request was withdrawn from the endpoint")

// withdrawExpired withdraws the pending attempts whose permission to run has ended.
func (g *Gateway) withdrawExpired() {
	for _, r := range g.requests.all() {
		pending := r.pending.Load()
		if pending == nil {
			continue
		}
		ended := g.endedPermission(pending)
		if ended == "" || !pending.withdraw() {
			continue
		}
		served := pending.grant.Decision.ServedVersion
		g.Log.Emit(event.AttemptWithdrawn, event.Fields{
			"request": r.clientRequest.ID, "endpoint": pending.grant.Endpoint.ID, "reason": ended, "afterMs": time.Since(pending.sentAt).Milliseconds(),
			"version": served, "replacedMs": g.replacedFor(pending.model, served).Milliseconds(),
		})
	}
}

// Reasons for which an attempt must not begin, or not reach its endpoint, any more.
const (
	versionReplaced  = "versionReplaced"
	endpointDeparted = "endpointDeparted"
	zoneEvacuated    = "zoneEvacuated"
)

// endedPermission returns why the attempt must not begin any more, or an empty string if it may.
// An endpoint that leaves runs what reached it in time, so that it must be known to be silent.
func (g *Gateway) endedPermission(pending *pendingAttempt) string {
	bounds := g.bounds.Load()
	replaced := g.replacedFor(pending.model, pending.grant.Decision.ServedVersion)
	if replaced > 0 && replaced >= bounds.Rollout-withdrawMargin {
		return versionReplaced
	}
	if pending.arrived.Load() || !g.activity.silentSince(pending.grant.Endpoint.ID, pending.sentAt.Add(arrivalTime)) {
		return ""
	}
	endpoint, view := &pending.grant.Endpoint, g.observer.ClusterState()
	switch {
	case expired(view.DepartedSince(endpoint), bounds.Drain):
		return endpointDeparted
	case expired(view.EvacuatedSince(endpoint.AvailabilityZone), bounds.ZoneEvacuation):
		return zoneEvacuated
	default:
		return ""
	}
}

// expired reports whether a bound on what the object store confirmed is about to pass. since is
// when the gateway learned of it, zero if there is nothing.
func expired(since time.Time, bound time.Duration) bool {
	return !since.IsZero() && time.Since(since) >= max(bound/2, bound-maxWatchDelay-withdrawMargin)
}
