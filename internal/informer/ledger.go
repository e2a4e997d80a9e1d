package informer

import (
	"sync"
	"time"
)

const (
	// anchorWait is how long the store keeps a watch of the anchor open while other watches rely on
	// it. With the pause of 400 ms after a change it bounds the time after which a change that
	// another watch has missed is noticed, which must spread within 2 s.
	anchorWait = 900 * time.Millisecond
	// anchorTimeout is the time since the anchor's last response after which nothing relies on it.
	anchorTimeout = verifiedWait + responseTimeout
	// missingGrace is how long a revision may be missing before watches are repeated: another
	// watch may report it a moment later, or after the pause of 100 ms that follows a change.
	missingGrace = 150 * time.Millisecond
	// distrustTime is how long each kind verifies its own watches after a call for the anchor
	// failed, the store used a revision for no kind of the ledger, or it began an era.
	distrustTime = 15 * time.Second
)

// Ledger lets the informers of a process share the verification that the store answers. One of
// them, the anchor, has short watches. Its responses have the store's revision; each revision up to
// it must be that of a change that one of the informers received. If one is missing, a pending
// watch may have been lost, and the kinds that may have the change repeat theirs. Set the exported
// fields before the informers run. A nil Ledger is not used.
type Ledger struct {
	// Anchor is the kind of the anchor. It should be one that changes often.
	Anchor string
	// Active reports whether this process verifies the anchor and its other watches may rely on it.
	Active func() bool

	mu  sync.Mutex
	era int64
	// confirmed holds, for each kind, the revision up to which its changes were received, 0 if it
	// was not listed.
	confirmed map[string]int64
	// floor is the revision up to which all are accounted for. seen holds those after it that are.
	floor int64
	seen  map[int64]bool
	// reached is the revision of the anchor's last response, answeredAt its time.
	reached    int64
	answeredAt time.Time
	// missingSince is when the revision after floor was first missing, zero if none is.
	missingSince  time.Time
	distrustUntil time.Time
}

// Add adds a kind whose informer uses the ledger. It must be called before the informers run.
func (l *Ledger) Add(kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.confirmed == nil {
		l.confirmed, l.seen = map[string]int64{}, map[int64]bool{}
	}
	l.confirmed[kind] = 0
}

// record records a response to a call for a kind, and the revisions of the objects in it.
func (l *Ledger) record(kind string, at Position, revisions []int64) {
	if l == nil {
		return
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Era != l.era {
		if l.floor > 0 {
			l.distrustUntil = now.Add(distrustTime)
		}
		l.era, l.floor, l.reached, l.missingSince = at.Era, 0, 0, time.Time{}
		clear(l.seen)
		for other := range l.confirmed {
			l.confirmed[other] = 0
		}
	}
	if kind == l.Anchor {
		l.reached, l.answeredAt = max(l.reached, at.Revision), now
	}
	l.confirmed[kind] = max(l.confirmed[kind], at.Revision)
	for _, revision := range revisions {
		if revision > l.floor {
			l.seen[revision] = true
		}
	}
	l.advance(now)
}

// advance raises the floor. The caller must hold mu.
func (l *Ledger) advance(now time.Time) {
	complete := int64(-1)
	for _, revision := range l.confirmed {
		if complete < 0 || revision < complete {
			complete = revision
		}
	}
	before := l.floor
	l.skipSeen()
	if complete > l.floor {
		if before > 0 {
			// No kind has the change of the next revision.
			l.distrustUntil = now.Add(distrustTime)
		}
		l.floor = complete
		for revision := range l.seen {
			if revision <= complete {
				delete(l.seen, revision)
			}
		}
		l.skipSeen()
	}
	switch {
	case l.floor >= l.reached:
		l.missingSince = time.Time{}
	case l.floor != before || l.missingSince.IsZero():
		l.missingSince = now
	}
}

// skipSeen raises the floor while the next revision was seen. The caller must hold mu.
func (l *Ledger) skipSeen() {
	for l.floor > 0 && l.seen[l.floor+1] {
		l.floor++
		delete(l.seen, l.floor)
	}
}

// fail records that a call for a kind failed. If it is the anchor, pending watches of the other kinds
// may be lost too.
func (l *Ledger) fail(kind string) {
	if l == nil || kind != l.Anchor {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.distrustUntil = time.Now().Add(distrustTime)
}

// anchors reports whether the watches of other kinds rely on those of this one.
func (l *Ledger) anchors(kind string) bool { return l != nil && kind == l.Anchor && l.Active() }

// covers reports whether a watch of a kind need not be verified by itself.
func (l *Ledger) covers(kind string) bool {
	if l == nil || kind == l.Anchor || !l.Active() {
		return false
	}
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	missing := !l.missingSince.IsZero() && now.Sub(l.missingSince) >= missingGrace && l.confirmed[kind] < l.reached
	return l.floor > 0 && !missing && now.Sub(l.answeredAt) <= anchorTimeout && !now.Before(l.distrustUntil)
}
