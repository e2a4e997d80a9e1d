package simulation

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

const (
	// shortStay is about the time in which a gateway asks another cell, longStay the
	// time in which most responses have begun.
	shortStay = 20 * time.Millisecond
	longStay  = 600 * time.Millisecond
	// maxRepeats is the largest number of times that a caller that left sends its request
	// again.
	maxRepeats = 2
)

// runLeaver simulates a caller that leaves without an answer, or in the middle of it, and
// sends its request again up to maxRepeats times. It is load, but has no outcome.
func (r *Run) runLeaver(ctx context.Context, kind Kind, zone int) {
	repeats := int(r.uniform(maxRepeats + 1))
	for range repeats + 1 {
		stay := shortStay
		if r.uniform(1) < 0.5 {
			stay = longStay
		}
		attemptCtx, leave := context.WithTimeout(ctx, time.Duration(r.uniform(float64(stay))))
		req := &request{kind: kind, zone: zone, promptTokens: r.sampleTokens(kind.PromptTokens), answerTokens: r.sampleTokens(kind.AnswerTokens), start: time.Now(), leaves: true}
		r.attempt(attemptCtx, req)
		if attemptCtx.Err() != nil {
			r.count(&r.stats.left)
		}
		leave()
	}
}

// count increments a counter of the statistics.
func (r *Run) count(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

// runningJobs returns the number of jobs that the gateways count at their endpoints.
func (r *Run) runningJobs() int {
	running := 0
	for _, g := range r.gateways {
		var digest peering.Digest
		g.dispatcher.AddTo(&digest)
		for _, load := range digest.Loads {
			running += load.Running
		}
	}
	return running
}
