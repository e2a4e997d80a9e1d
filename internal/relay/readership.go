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
	mu       sync.Mutex
	since    time.Time
	caughtUp bool
}

// observe records whether this process is a reader now.
func (r *readership) observe(reader bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !reader:
		r.since, r.caughtUp = time.Time{}, false
	case r.since.IsZero():
		r.since = time.Now()
	}
}

// settledAt returns the time from which a confirmation counts as catching up.
// It reports false while this process is not a reader.
func (r *readership) settledAt() (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.since.Add(settleTime), !r.since.IsZero()
}

// noteCaughtUp records that this process held, after the given end of its
// settling, every ticket that was accepted by then.
func (r *readership) noteCaughtUp(settled time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.since.IsZero() && r.since.Add(settleTime).Equal(settled) {
		r.caughtUp = true
	}
}

// mayVouch reports whether this process may vouch for its zone.
func (r *readership) mayVouch() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.caughtUp
}
