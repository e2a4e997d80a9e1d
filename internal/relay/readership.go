package relay

import (
	"sync"
	"time"
)

// settleTime is how long a process is a reader before it vouches for its zone.
// By then the other readers know of it, and acknowledge no ticket without it:
// they acknowledge only while their instance list is younger than listMaxAge.
const (
	settleTime = 5 * time.Second
	listMaxAge = 2 * time.Second
)

// readership tracks whether this process may vouch for its availability zone.
// It is safe for concurrent use.
//
// Invariant: it may vouch only if it has been a reader without a break for
// settleTime and has then caught up with every accepted ticket.
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

// settledAt returns the time from which a confirmation counts as catching up.
// It reports false while this process is not a reader.
func (r *readership) settledAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readerSince.Add(settleTime), !r.readerSince.IsZero()
}

// setCaughtUp records that this process held, after the given end of its
// settling, every ticket that was accepted by then.
func (r *readership) setCaughtUp(settled time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.readerSince.IsZero() && r.readerSince.Add(settleTime).Equal(settled) {
		r.caughtUp = true
	}
}

// mayConfirm reports whether this process may vouch for its zone.
func (r *readership) mayConfirm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caughtUp
}
