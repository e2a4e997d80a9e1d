package configuration

import (
	"sync"
	"sync/atomic"
)

// Store holds the configuration in effect. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Configuration]
	mu      sync.Mutex
}

// Current returns the configuration in effect, nil before the first one is
// stored. A request uses the configuration with which it started until it ends.
func (s *Store) Current() *Configuration { return s.current.Load() }

// StoreIfNewer puts a configuration into effect unless the current version is the
// same or newer, and reports whether it did.
func (s *Store) StoreIfNewer(next *Configuration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.current.Load(); current != nil && next.Version() <= current.Version() {
		return false
	}
	s.current.Store(next)
	return true
}
