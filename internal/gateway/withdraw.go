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
	// maxSilence is how long a request that may be sent again waits for an endpoint from which
	// nothing arrives. Sound endpoints may be silent for about a second, and callers wait for the
	// first event of a stream for two seconds or more.
	maxSilence = 1500 * time.Millisecond
)

// errWithdrawn reports an attempt that the gateway ended before it was known to have begun.
var errWithdrawn = errors.New("the request was withdrawn from the endpoint")

// withdrawExpired withdraws the pending attempts whose permission to run has ended, and those that
// wait for a silent endpoint. Only one goroutine may call it.
func (g *Gateway) withdrawExpired() {
	now := time.Now()
	silentSince := now.Add(-maxSilence)
	listening := g.suspension.check(now).Before(silentSince)
	for _, r := range g.requests.all() {
		pending := r.pending.Load()
		if pending == nil {
			continue
		}
		ended := g.endedPermission(pending)
		if ended == "" && listening && g.waitsInSilence(pending, silentSince) {
			ended = endpointSilent
		}
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

// Reasons for which an attempt must not begin, or not reach its endpoint, any more, or need not
// be waited for.
const (
	versionReplaced  = "versionReplaced"
	endpointDeparted = "endpointDeparted"
	zoneEvacuated    = "zoneEvacuated"
	endpointSilent   = "endpointSilent"
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

// waitsInSilence reports whether an attempt is not worth waiting for: it was sent before the given
// time, nothing has arrived from its endpoint since, and another endpoint may run the request. A
// caller that waits for a silent endpoint until it gives up cannot be served any more, and the
// endpoint runs what it had read when it goes on. A gateway that stops waits on: a planned stop is no
// reason to answer what it has accepted with an error.
func (g *Gateway) waitsInSilence(pending *pendingAttempt, since time.Time) bool {
	return pending.replaceable && pending.sentAt.Before(since) && !g.drain.started() && !g.activity.receivedSince(pending.grant.Endpoint.ID, since)
}

// expired reports whether a bound on what the object store confirmed is about to pass. since is
// when the gateway learned of it, zero if there is nothing.
func expired(since time.Time, bound time.Duration) bool {
	return !since.IsZero() && time.Since(since) >= max(bound/2, bound-maxWatchDelay-withdrawMargin)
}
