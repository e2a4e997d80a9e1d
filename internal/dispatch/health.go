package dispatch

import (
	"math"
	"time"
)

const (
	// initialBackoff is how long an endpoint is left out after a failure; each further
	// one without a success between doubles it, up to maxPause.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// refusedBackoff is how long an endpoint that refused a request is left out.
	refusedBackoff = 80 * time.Millisecond
	// failureWeight is the weight of one outcome in the share of failures.
	failureWeight = 0.15
	// failureHalfLife is the time in which the share of failures halves if nothing is
	// seen, so that a grey endpoint is tried again.
	failureHalfLife = 3 * time.Second
	// degradedFailureRate is the share of failures from which an endpoint counts as grey: it is
	// used only when no other one can take the job.
	degradedFailureRate = 0.3
)

// health judges an endpoint by how the gateway's own requests ended there.
type health struct {
	backoffUntil time.Time
	backoff      time.Duration
	// failureRate is a moving average, 1 if every request fails, at seen.
	failureRate float64
	updatedAt   time.Time
}

// recordSuccess notes a request that the endpoint answered.
func (h *health) recordSuccess(now time.Time) {
	h.backoff = 0
	h.record(now, 0)
}

// recordFailure notes a request that the endpoint did not answer.
func (h *health) recordFailure(now time.Time) {
	h.record(now, 1)
	h.backoff = min(maxBackoff, max(initialBackoff, 2*h.backoff))
	h.backoffUntil = now.Add(h.backoff)
}

// recordError notes a request that the endpoint answered with a failure of its own.
func (h *health) recordError(now time.Time) { h.record(now, 1) }

func (h *health) record(now time.Time, outcome float64) {
	h.failureRate = h.decayedFailureRate(now)
	h.failureRate += failureWeight * (outcome - h.failureRate)
	h.updatedAt = now
}

// decayedFailureRate returns the decayedFailureRate of failures.
func (h *health) decayedFailureRate(now time.Time) float64 {
	if h.updatedAt.IsZero() {
		return 0
	}
	return h.failureRate * math.Exp2(-now.Sub(h.updatedAt).Seconds()/failureHalfLife.Seconds())
}

// recordRefusal notes a request that the endpoint did not take.
func (h *health) recordRefusal(now time.Time) {
	h.backoffUntil = now.Add(refusedBackoff)
}

func (h *health) inBackoff(now time.Time) bool { return now.Before(h.backoffUntil) }

func (h *health) degraded(now time.Time) bool { return h.decayedFailureRate(now) > degradedFailureRate }
