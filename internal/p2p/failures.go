package p2p

import (
	"sync"
	"time"
)

const (
	// maxCorruptChunks is the number of corrupt chunks, after decay, at which a source
	// is excluded.
	maxCorruptChunks = 3
	// corruptDecayInterval is the time after which the count of corrupt chunks decreases
	// by one.
	corruptDecayInterval = 20 * time.Second
)

// failureTracker records failures of sources and excludes failing sources temporarily.
// A corrupt chunk counts against the source that sent it, never against an earlier
// hop: every instance verifies a chunk before it forwards it, so a corrupt chunk was
// damaged on the last hop. No exclusion is permanent. failureTracker is safe for
// concurrent use.
type failureTracker struct {
	timing  Timing
	mu      sync.Mutex
	sources map[string]*sourceState
}

// sourceState is the failure history of one source.
type sourceState struct {
	excludedUntil   time.Time
	exclusionPeriod time.Duration
	corruptCount    int
	lastCorrupt     time.Time
}

func newFailureTracker(timing Timing) *failureTracker {
	return &failureTracker{timing: timing, sources: map[string]*sourceState{}}
}

// isExcluded reports whether the source is currently excluded.
func (t *failureTracker) isExcluded(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.sources[name]
	return state != nil && time.Now().Before(state.excludedUntil)
}

// recordFailure excludes the source, with exponential backoff on repeated failures.
func (t *failureTracker) recordFailure(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exclude(t.state(name))
}

// recordOriginFailure excludes the origin for a short, constant period: no other source
// can replace it, so it must be retried soon after it recovers.
func (t *failureTracker) recordOriginFailure(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).excludedUntil = time.Now().Add(t.timing.OriginExclusion)
}

// recordCorruptChunk counts a corrupt chunk of the source and reports whether the source
// is now excluded.
func (t *failureTracker) recordCorruptChunk(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.state(name)
	now := time.Now()
	decayed := int(now.Sub(state.lastCorrupt) / corruptDecayInterval)
	state.corruptCount = max(0, state.corruptCount-decayed) + 1
	state.lastCorrupt = now
	if state.corruptCount < maxCorruptChunks {
		return false
	}
	state.corruptCount = 0
	t.exclude(state)
	return true
}

// recordSuccess ends the exclusion of a source that delivered a chunk and resets its
// backoff.
func (t *failureTracker) recordSuccess(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.sources[name]; state != nil {
		state.exclusionPeriod = 0
		state.excludedUntil = time.Time{}
	}
}

func (t *failureTracker) state(name string) *sourceState {
	state := t.sources[name]
	if state == nil {
		state = &sourceState{lastCorrupt: time.Now()}
		t.sources[name] = state
	}
	return state
}

// exclude excludes a source for twice its previous period, at least InitialExclusion and
// at most MaxExclusion. It does nothing if the source is already excluded, since one
// failure often affects several requests.
func (t *failureTracker) exclude(state *sourceState) {
	now := time.Now()
	if now.Before(state.excludedUntil) {
		return
	}
	state.exclusionPeriod = min(t.timing.MaxExclusion, max(t.timing.InitialExclusion, 2*state.exclusionPeriod))
	state.excludedUntil = now.Add(state.exclusionPeriod)
}
