package p2p

import (
	"sync"
	"time"
)

const (
	// corruptStrikes is the number of corrupt chunks, less those forgiven, at
	// which a source is left out.
	corruptStrikes = 3
	// forgiveInterval is the time after which one corrupt chunk is forgiven.
	forgiveInterval = 20 * time.Second
)

// suspects remembers which sources failed. It charges the source that sent the
// data, never the one it came from before: every instance verifies a chunk
// before it passes it on, so a corrupt chunk was damaged on the last hop. No
// exclusion is permanent. It is safe for concurrent use.
type suspects struct {
	timing  Timing
	mu      sync.Mutex
	sources map[string]*suspicion
}

type suspicion struct {
	until     time.Time
	exclusion time.Duration
	strikes   int
	struckAt  time.Time
}

func newSuspects(timing Timing) *suspects {
	return &suspects{timing: timing, sources: map[string]*suspicion{}}
}

// excluded reports whether the source is left out for now.
func (s *suspects) excluded(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.sources[name]
	return held != nil && time.Now().Before(held.until)
}

// failed leaves the source out for a while.
func (s *suspects) failed(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exclude(s.get(name))
}

// failedOrigin leaves the origin out for a short while, always the same: nothing else
// can stand in for it, so it must be asked soon after it is back.
func (s *suspects) failedOrigin(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(name).until = time.Now().Add(s.timing.OriginExclusion)
}

// corrupt charges the source for a corrupt chunk and reports whether it is
// left out now.
func (s *suspects) corrupt(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.get(name)
	now := time.Now()
	forgiven := int(now.Sub(held.struckAt) / forgiveInterval)
	held.strikes = max(0, held.strikes-forgiven) + 1
	held.struckAt = now
	if held.strikes < corruptStrikes {
		return false
	}
	held.strikes = 0
	s.exclude(held)
	return true
}

// worked ends the suspicion against a source that delivered.
func (s *suspects) worked(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.sources[name]; held != nil {
		held.exclusion = 0
		held.until = time.Time{}
	}
}

func (s *suspects) get(name string) *suspicion {
	held := s.sources[name]
	if held == nil {
		held = &suspicion{struckAt: time.Now()}
		s.sources[name] = held
	}
	return held
}

// exclude doubles the exclusion unless the source is already left out, since
// one failure is often seen by several requests.
func (s *suspects) exclude(held *suspicion) {
	now := time.Now()
	if now.Before(held.until) {
		return
	}
	held.exclusion = min(s.timing.MaxExclusion, max(s.timing.InitialExclusion, 2*held.exclusion))
	held.until = now.Add(held.exclusion)
}
