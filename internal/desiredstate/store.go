package desiredstate

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Store holds the current snapshot of a process and notifies waiters of changes.
// It is safe for concurrent use.
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

// Snapshot returns the current snapshot. A request keeps using the snapshot with
// which it was admitted.
func (s *Store) Snapshot() *Snapshot { return s.current.Load() }

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Merge merges entries that are complete up to upTo and reports whether the
// snapshot has changed. It panics if the merge would revert a scope to an older
// ticket.
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

// equalNumbers reports whether two snapshots have the same scopes, set by the same
// tickets.
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

// assertMonotonic panics if the ticket number of the configuration or of a scope
// decreases from previous to next.
func assertMonotonic(previous, next *Snapshot) {
	if next.upTo < previous.upTo {
		panic(fmt.Sprintf("configuration would revert from ticket %d to %d", previous.upTo, next.upTo))
	}
	for scope, entry := range previous.entries {
		if next.entries[scope].Number < entry.Number {
			panic(fmt.Sprintf("scope %s would revert from ticket %d to %d", scope, entry.Number, next.entries[scope].Number))
		}
	}
}
