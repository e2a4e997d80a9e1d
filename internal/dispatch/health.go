package dispatch

import (
	"math"
	"time"
)

const (
	// initialBackoff is how long an endpoint is excluded after a failure. Each further
	// failure without a success in between doubles it, up to maxBackoff.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// refusedBackoff is how long an endpoint is excluded after it refused a request.
	refusedBackoff = 80 * time.Millisecond
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.15
	// failureHalfLife is the time in which the failure rate halves if there are no new
	// outcomes, so that a degraded endpoint is tried again.
	failureHalfLife = 3 * time.Second
	// degradedFailureRate is the failure rate above which an endpoint is degraded. A
	// degraded endpoint is used only if no other one can take the job.
	degradedFailureRate = 0.3
)

// health tracks the outcomes of the gateway's own requests at an endpoint.
type health struct {
	backoffUntil time.Time
	backoff      time.Duration
	// failureRate is a moving average at updatedAt; it is 1 if every request fails.
	failureRate float64
	updatedAt   time.Time
}

// recordSuccess records a request to which the endpoint responded.
func (h *health) recordSuccess(now time.Time) {
	h.backoff = 0
	h.record(now, 0)
}

// recordFailure records a request to which the endpoint sent no valid response, and
// extends the backoff.
func (h *health) recordFailure(now time.Time) {
	h.record(now, 1)
	h.backoff = min(maxBackoff, max(initialBackoff, 2*h.backoff))
	h.backoffUntil = now.Add(h.backoff)
}

// recordUnresponsive records that requests were withdrawn. Those of one moment say as much about the
// endpoint as a single one.
func (h *health) recordUnresponsive(now time.Time) {
	if !h.inBackoff(now) {
		h.recordFailure(now)
	}
}

// recordError records a request to which the endpoint responded with an error of its own.
func (h *health) recordError(now time.Time) { h.record(now, 1) }

func (h *health) record(now time.Time, outcome float64) {
	h.failureRate = h.decayedFailureRate(now)
	h.failureRate += failureWeight * (outcome - h.failureRate)
	h.updatedAt = now
}

// decayedFailureRate returns the failure rate, decayed since the last outcome.
func (h *health) decayedFailureRate(now time.Time) float64 {
	if h.updatedAt.IsZero() {
		return 0
	}
	return h.failureRate * math.Exp2(-now.Sub(h.updatedAt).Seconds()/failureHalfLife.Seconds())
}

// recordRefusal records a request that the endpoint refused.
func (h *health) recordRefusal(now time.Time) {
	h.backoffUntil = now.Add(refusedBackoff)
}

func (h *health) inBackoff(now time.Time) bool { return now.Before(h.backoffUntil) }

func (h *health) degraded(now time.Time) bool { return h.decayedFailureRate(now) > degradedFailureRate }
