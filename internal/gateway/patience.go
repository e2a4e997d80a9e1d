package gateway

import (
	"sync"
	"time"
)

// freshShare is the part of the longest patience of a route's callers above which a
// caller counts as one that comes for the first time: the patience of callers differs by
// some 15%, and one that was refused has waited for longer than that.
const freshShare = 0.8

// patiences remembers the longest patience of the callers of each route. It is safe for
// concurrent use.
type patiences struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// returned notes a caller's patience and reports whether it has asked before.
func (p *patiences) returned(route string, patience time.Duration) bool {
	if patience <= 0 {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = map[string]time.Duration{}
	}
	p.longest[route] = max(p.longest[route], patience)
	return patience < time.Duration(freshShare*float64(p.longest[route]))
}
