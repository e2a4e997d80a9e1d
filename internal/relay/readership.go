package relay

import (
	"sync"
	"time"
)

// settleTime is the time for which a process must be a reader before it may
// confirm its zone. By then the instance lists of the other readers include it, so
// they acknowledge no ticket that it lacks: they acknowledge only while their
// instance list is at most listMaxAge old.
const (
	settleTime = 5 * time.Second
	listMaxAge = 2 * time.Second
)

// readership tracks whether this process may confirm its availability zone. It is
// safe for concurrent use.
//
// Invariant: the process may confirm its zone only if it has been a reader
// without interruption for settleTime and has caught up with every accepted
// ticket since.
type readership struct {
	mu          sync.Mutex
	readerSince time.Time
	caughtUp    bool
}

// update records whether this process is a reader now.
func (r *readership) update(reader bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !reader:
		r.readerSince, r.caughtUp = time.Time{}, false
	case r.readerSince.IsZero():
		r.readerSince = time.Now()
	}
}

// settledAt returns the end of the settle time, after which confirmations count
// towards catching up. It returns false if this process is not a reader.
func (r *readership) settledAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readerSince.Add(settleTime), !r.readerSince.IsZero()
}

// setCaughtUp records that this process has every ticket that was accepted up to
// settled, the end of its settle time. It does nothing if the settle time has
// started again since.
func (r *readership) setCaughtUp(settled time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.readerSince.IsZero() && r.readerSince.Add(settleTime).Equal(settled) {
		r.caughtUp = true
	}
}

// mayConfirm reports whether this process may confirm its zone.
func (r *readership) mayConfirm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caughtUp
}
