package p2p

import (
	"sync"
	"time"
)

const (
	// maxCorruptChunks is the number of corrupt chunks, less those forgiven, at
	// which a source is left out.
	maxCorruptChunks = 3
	// corruptDecayInterval is the time after which one corrupt chunk is forgiven.
	corruptDecayInterval = 20 * time.Second
)

// failureTracker remembers which sources failed. It charges the source that sent the
// data, never the one it came from before: every instance verifies a chunk
// before it passes it on, so a corrupt chunk was damaged on the last hop. No
// exclusion is permanent. It is safe for concurrent use.
type failureTracker struct {
	timing  Timing
	mu      sync.Mutex
	sources map[string]*sourceState
}

type sourceState struct {
	excludedUntil   time.Time
	exclusionPeriod time.Duration
	corruptCount    int
	lastCorrupt     time.Time
}

func newFailureTracker(timing Timing) *failureTracker {
	return &failureTracker{timing: timing, sources: map[string]*sourceState{}}
}

// isExcluded reports whether the source is left out for now.
func (t *failureTracker) isExcluded(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.sources[name]
	return state != nil && time.Now().Before(state.excludedUntil)
}

// recordFailure leaves the source out for a while.
func (t *failureTracker) recordFailure(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exclude(t.state(name))
}

// recordOriginFailure leaves the origin out for a short while, always the same: nothing else
// can stand in for it, so it must be asked soon after it is back.
func (t *failureTracker) recordOriginFailure(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).excludedUntil = time.Now().Add(t.timing.OriginExclusion)
}

// recordCorruptChunk charges the source for a recordCorruptChunk chunk and reports whether it is
// left out now.
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

// recordSuccess ends the suspicion against a source that delivered.
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

// exclude doubles the exclusion unless the source is already left out, since
// one failure is often seen by several requests.
func (t *failureTracker) exclude(state *sourceState) {
	now := time.Now()
	if now.Before(state.excludedUntil) {
		return
	}
	state.exclusionPeriod = min(t.timing.MaxExclusion, max(t.timing.InitialExclusion, 2*state.exclusionPeriod))
	state.excludedUntil = now.Add(state.exclusionPeriod)
}
