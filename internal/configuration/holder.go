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
func (h *Store) Current() *Configuration { return h.current.Load() }

// StoreIfNewer puts a configuration into effect unless the current version is the
// same or newer, and reports whether it did.
func (h *Store) StoreIfNewer(next *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && next.Version() <= current.Version() {
		return false
	}
	h.current.Store(next)
	return true
}
