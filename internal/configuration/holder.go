package configuration

import (
	"sync"
	"sync/atomic"
)

// Holder holds the configuration in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Configuration]
	mu      sync.Mutex
}

// Current returns the configuration in force, nil before the first one. A
// request keeps the one that it began with.
func (h *Holder) Current() *Configuration { return h.current.Load() }

// StoreIfNewer puts a configuration in force unless a newer one is, and reports whether
// it did.
func (h *Holder) StoreIfNewer(next *Configuration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if current := h.current.Load(); current != nil && next.Version() <= current.Version() {
		return false
	}
	h.current.Store(next)
	return true
}
