package desiredstate

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Store holds the newest snapshot of a process and tells waiters about
// changes. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	changed chan struct{}
}

// NewStore returns a store with an empty snapshot.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{})}
	s.current.Store(&Snapshot{})
	return s
}

// Snapshot returns the newest snapshot. A request keeps the one it was
// admitted with.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Merge adds entries that are complete up to upTo and reports whether anything
// changed. It panics if the result would revert a scope.
func (s *Store) Merge(entries []Entry, upTo int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.current.Load()
	next := previous.With(entries, upTo)
	if next.upTo == previous.upTo && equalNumbers(previous, next) {
		return false
	}
	assertMonotonic(previous, next)
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func equalNumbers(a, b *Snapshot) bool {
	if len(a.entries) != len(b.entries) {
		return false
	}
	for scope, entry := range b.entries {
		if a.entries[scope].Number != entry.Number {
			return false
		}
	}
	return true
}

// assertMonotonic panics if a scope went back to an older ticket.
func assertMonotonic(previous, next *Snapshot) {
	if next.upTo < previous.upTo {
		panic(fmt.Sprintf("configuration went back from ticket %d to %d", previous.upTo, next.upTo))
	}
	for scope, entry := range previous.entries {
		if next.entries[scope].Number < entry.Number {
			panic(fmt.Sprintf("scope %s went back from ticket %d to %d", scope, entry.Number, next.entries[scope].Number))
		}
	}
}
