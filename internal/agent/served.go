package agent

import (
	"sync"

	"github.com/mimosaward/mimosaward/internal/weights"
)

// servedSet tracks the weight set that the engine serves, the requests in
// flight, and whether admission is suspended for a swap. It is safe for
// concurrent use.
//
// Invariant: the set changes only while no request is in flight, so a request
// ends with the set that it was admitted with.
type servedSet struct {
	mu           sync.Mutex
	set          weights.Digest
	ticketNumber int64
	suspended    bool
	// lost is true if the engine no longer has the set loaded.
	lost     bool
	inFlight int
}

// acquire counts a request in flight that uses the set. It reports false while
// admission is suspended or before the first load.
func (s *servedSet) acquire() (weights.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended || s.set.IsZero() {
		return weights.Digest{}, false
	}
	s.inFlight++
	return s.set, true
}

// release ends a request that acquired the set.
func (s *servedSet) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// suspend suspends admission and returns the number of requests in flight.
func (s *servedSet) suspend() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended = true
	return s.inFlight
}

// replace records the set that the engine serves after a swap and resumes
// admission; the zero digest means that the engine serves no set. It panics if
// the set differs while requests are in flight.
func (s *servedSet) replace(set weights.Digest, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight != 0 && set != s.set {
		panic("weight set changed with requests in flight")
	}
	s.set, s.ticketNumber, s.suspended, s.lost = set, number, set.IsZero(), false
}

// resume resumes admission unless the engine serves no set.
func (s *servedSet) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended = s.set.IsZero() || s.lost
}

// current returns the set, the number of the ticket that assigned it, and
// whether requests are admitted.
func (s *servedSet) current() (weights.Digest, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set, s.ticketNumber, !s.suspended && !s.set.IsZero()
}

// markLost records that the engine no longer has the set loaded, for example
// after a restart. Requests in flight fail their own checks.
func (s *servedSet) markLost(set weights.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == set {
		s.suspended, s.lost = true, true
	}
}
