package membership

import (
	"sync"
	"sync/atomic"
)

// Store holds a process's current view of the instance list. It is safe for
// concurrent use.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	changed chan struct{}
}

// NewStore returns a store with an empty view.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.current.Store(NewView())
	return s
}

// View returns the current view.
func (s *Store) View() *View { return s.current.Load() }

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Merge applies the records that changed up to the given list version.
func (s *Store) Merge(changed []Instance, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.current.Load()
	if version <= previous.version && len(changed) == 0 {
		return
	}
	s.current.Store(previous.With(changed, version))
	close(s.changed)
	s.changed = make(chan struct{})
}
