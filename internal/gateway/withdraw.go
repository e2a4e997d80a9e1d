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
	// covers the time to the next check and until the endpoint notices the reset.
	withdrawMargin = 150 * time.Millisecond
)

// errWithdrawn reports an attempt that the gateway ended because it may not begin any more.
var errWithdrawn = errors.New("the request was withdrawn from the endpoint")

// withdrawExpired withdraws the pending attempts whose permission to run has ended.
func (g *Gateway) withdrawExpired() {
	for _, r := range g.requests.all() {
		pending := r.pending.Load()
		if pending == nil || !g.permissionEnded(pending) || !pending.withdraw() {
			continue
		}
		served := pending.grant.Decision.ServedVersion
		g.Log.Emit(event.AttemptWithdrawn, event.Fields{
			"request": r.clientRequest.ID, "endpoint": pending.grant.Endpoint.ID, "afterMs": time.Since(pending.sentAt).Milliseconds(),
			"version": served, "replacedMs": g.replacedFor(pending.model, served).Milliseconds(),
		})
	}
}

// permissionEnded reports whether the attempt must not begin any more.
func (g *Gateway) permissionEnded(pending *pendingAttempt) bool {
	replaced := g.replacedFor(pending.model, pending.grant.Decision.ServedVersion)
	return replaced > 0 && replaced >= g.bounds.Load().Rollout-withdrawMargin
}
