package membership

import (
	"sync"
	"sync/atomic"
)

// Store holds the newest view of a process. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	changed chan struct{}
}

// NewStore returns a holder with an empty view.
func NewStore() *Store {
	h := &Store{changed: make(chan struct{})}
	h.current.Store(NewView())
	return h
}

// View returns the newest view.
func (h *Store) View() *View { return h.current.Load() }

// Changed returns a channel that is closed at the next change.
func (h *Store) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Merge adds changed records up to the list version.
func (h *Store) Merge(changed []Instance, version int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.current.Load()
	if version <= before.version && len(changed) == 0 {
		return
	}
	h.current.Store(before.With(changed, version))
	close(h.changed)
	h.changed = make(chan struct{})
}
