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
	mu       sync.Mutex
	set      weights.Digest
	number   int64
	swapping bool
	users    int
}

// use counts a request that is bound to the set. It reports false while a swap
// keeps requests away or before the first load.
func (s *servedSet) use() (weights.Digest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.swapping || s.set.IsZero() {
		return weights.Digest{}, false
	}
	s.users++
	return s.set, true
}

// release ends a request's use.
func (s *servedSet) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users--
}

// close keeps new requests away and returns how many are in flight.
func (s *servedSet) close() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swapping = true
	return s.users
}

// change records what the engine serves after a swap; the zero digest means
// nothing. It panics if requests are in flight.
func (s *servedSet) change(set weights.Digest, number int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.users != 0 && set != s.set {
		panic("weight set changed with requests in flight")
	}
	s.set, s.number, s.swapping = set, number, set.IsZero()
}

// current returns the set, the ticket that wanted it, and whether it takes
// requests.
func (s *servedSet) current() (weights.Digest, int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set, s.number, !s.swapping && !s.set.IsZero()
}

// lose records that the engine no longer holds the set, as after its restart.
// Requests in flight will fail their own checks.
func (s *servedSet) lose(set weights.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == set {
		s.swapping = true
	}
}
