package dispatch

import (
	"math"
	"time"
)

const (
	// firstPause is how long an endpoint is left out after a failure; each further
	// one without a success between doubles it, up to maxPause.
	firstPause = 250 * time.Millisecond
	maxPause   = 4 * time.Second
	// refusedPause is how long an endpoint that refused a request is left out.
	refusedPause = 80 * time.Millisecond
	// failureWeight is the weight of one outcome in the share of failures.
	failureWeight = 0.15
	// failureHalving is the time in which the share of failures halves if nothing is
	// seen, so that a grey endpoint is tried again.
	failureHalving = 3 * time.Second
	// greyShare is the share of failures from which an endpoint counts as grey: it is
	// used only when no other one can take the job.
	greyShare = 0.3
)

// health judges an endpoint by how the gateway's own requests ended there.
type health struct {
	pausedUntil time.Time
	pause       time.Duration
	// failures is a moving average, 1 if every request fails, at seen.
	failures float64
	seen     time.Time
}

// succeeded notes a request that the endpoint answered.
func (h *health) succeeded(now time.Time) {
	h.pause = 0
	h.note(now, 0)
}

// failed notes a request that the endpoint did not answer.
func (h *health) failed(now time.Time) {
	h.note(now, 1)
	h.pause = min(maxPause, max(firstPause, 2*h.pause))
	h.pausedUntil = now.Add(h.pause)
}

// erred notes a request that the endpoint answered with a failure of its own.
func (h *health) erred(now time.Time) { h.note(now, 1) }

func (h *health) note(now time.Time, outcome float64) {
	h.failures = h.share(now)
	h.failures += failureWeight * (outcome - h.failures)
	h.seen = now
}

// share returns the share of failures.
func (h *health) share(now time.Time) float64 {
	if h.seen.IsZero() {
		return 0
	}
	return h.failures * math.Exp2(-now.Sub(h.seen).Seconds()/failureHalving.Seconds())
}

// refused notes a request that the endpoint did not take.
func (h *health) refused(now time.Time) {
	h.pausedUntil = now.Add(refusedPause)
}

func (h *health) paused(now time.Time) bool { return now.Before(h.pausedUntil) }

func (h *health) grey(now time.Time) bool { return h.share(now) > greyShare }
