package agent

import (
	"sync"

	"github.com/mimosaward/mimosaward/internal/weights"
)

// servedSet is the weight set that the engine serves, and whether a swap keeps
// new requests away. It is safe for concurrent use.
//
// Invariant: the set changes only while no request is in flight, so the set at
// admission is the set at the end.
type servedSet struct {
	mu           sync.Mutex
	set          weights.Digest
	ticketNumber int64
	suspended    bool
	inFlight     int
}

// use counts a request that is bound to the set. It reports false while a swap
// keeps requests away or before the first load.
func (s *servedSet) acquire() (weights.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.suspended || s.set.IsZero() {
		return weights.Digest{}, false
	}
	s.inFlight++
	return s.set, true
}

// release ends a request's use.
func (s *servedSet) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// close keeps new requests away and returns how many are in flight.
func (s *servedSet) suspend() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended = true
	return s.inFlight
}

// change records what the engine serves after a swap; the zero digest means
// nothing. It panics if requests are in flight.
func (s *servedSet) replace(set weights.Digest, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight != 0 && set != s.set {
		panic("weight set changed with requests in flight")
	}
	s.set, s.ticketNumber, s.suspended = set, number, set.IsZero()
}

// current returns the set, the ticket that wanted it, and whether it takes
// requests.
func (s *servedSet) current() (weights.Digest, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set, s.ticketNumber, !s.suspended && !s.set.IsZero()
}

// lose records that the engine no longer holds the set, as after its restart.
// Requests in flight will fail their own checks.
func (s *servedSet) markLost(set weights.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == set {
		s.suspended = true
	}
}
