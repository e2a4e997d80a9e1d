// Package freshness decides whether a process may act on its copy of the
// configuration. It does no I/O.
//
// A process is fresh if a reader confirmed the configuration with the object API
// within MaxAge, or if readers in a majority of the availability zones confirmed
// it within MaxAge. A ticket counts as accepted only after readers in a majority
// of the zones have acknowledged it, so any two such majorities intersect and a
// confirming majority has every accepted ticket. A process that can reach neither
// the object API nor a majority is isolated and must refuse new work.
package freshness

import (
	"sync"
	"time"
)

// MaxAge is the time for which a confirmation keeps a process fresh.
const MaxAge = 2500 * time.Millisecond

// Status indicates whether a process may act on its configuration, and which
// confirmation allows it.
type Status int

// The values of Status.
const (
	// Stale means that new work must be refused.
	Stale Status = iota
	// ConfirmedByMajority means that readers in a majority of the availability
	// zones confirmed the configuration.
	ConfirmedByMajority
	// ConfirmedByStore means that the object API confirmed the configuration.
	ConfirmedByStore
)

// String returns the text that log events and status pages show.
func (s Status) String() string {
	switch s {
	case ConfirmedByStore:
		return "confirmed by the object API"
	case ConfirmedByMajority:
		return "confirmed by a majority of availability zones"
	default:
		return "stale"
	}
}

// Ages is a message with the ages of the sender's confirmations. Unlike
// timestamps, ages do not require synchronized clocks.
type Ages struct {
	// StoreKnown reports whether Store is set. It is false if the sender has no
	// confirmation by the object API that is at most MaxAge old.
	StoreKnown bool
	Store      time.Duration
	Zones      map[string]time.Duration
}

// Tracker records the times of the latest confirmations by the object API and by
// each zone. It is safe for concurrent use.
type Tracker struct {
	mu               sync.Mutex
	storeConfirmedAt time.Time
	zonesConfirmedAt map[string]time.Time
}

// NewTracker returns a tracker with no confirmations.
func NewTracker() *Tracker { return &Tracker{zonesConfirmedAt: map[string]time.Time{}} }

// ConfirmStore records that the local state includes everything that the object
// API contained at the given time.
func (t *Tracker) ConfirmStore(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.storeConfirmedAt = latest(t.storeConfirmedAt, at)
}

// ConfirmZone records that the local state includes everything that a reader in
// the zone had at the given time.
func (t *Tracker) ConfirmZone(zone string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zonesConfirmedAt[zone] = latest(t.zonesConfirmedAt[zone], at)
}

// Merge merges the confirmations of a sender, whose state must already have been
// merged. asOf is a lower bound of the time at which the sender computed the
// ages.
func (t *Tracker) Merge(ages Ages, asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ages.StoreKnown {
		t.storeConfirmedAt = latest(t.storeConfirmedAt, asOf.Add(-ages.Store))
	}
	for zone, age := range ages.Zones {
		t.zonesConfirmedAt[zone] = latest(t.zonesConfirmedAt[zone], asOf.Add(-age))
	}
}

// storeOnlyAge is the age up to which a confirmation by the object API is sent
// alone, without the confirmations by zones.
const storeOnlyAge = time.Second

// Ages returns the ages of the confirmations to send to another process. It omits
// those older than MaxAge, and omits those of the zones while the confirmation by
// the object API is at most storeOnlyAge old.
func (t *Tracker) Ages(now time.Time) Ages {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := Ages{Zones: map[string]time.Duration{}}
	if age := now.Sub(t.storeConfirmedAt); !t.storeConfirmedAt.IsZero() && age <= MaxAge {
		ages.StoreKnown, ages.Store = true, age
		if age <= storeOnlyAge {
			return ages
		}
	}
	for zone, at := range t.zonesConfirmedAt {
		if age := now.Sub(at); age <= MaxAge {
			ages.Zones[zone] = age
		}
	}
	return ages
}

// Status returns the status at time now. zones lists every availability zone.
func (t *Tracker) Status(now time.Time, zones []string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.storeConfirmedAt.IsZero() && now.Sub(t.storeConfirmedAt) <= MaxAge {
		return ConfirmedByStore
	}
	confirmed := 0
	for _, zone := range zones {
		if at, ok := t.zonesConfirmedAt[zone]; ok && now.Sub(at) <= MaxAge {
			confirmed++
		}
	}
	if len(zones) > 0 && 2*confirmed > len(zones) {
		return ConfirmedByMajority
	}
	return Stale
}

// CaughtUp reports whether the local state includes every ticket that was
// accepted up to the time since, because either the object API or enough other
// zones have confirmed it since then. The process's own zone does not count: all
// readers that acknowledged tickets on its behalf may be gone. Enough zones are so
// many that every majority, even without the own zone, includes one of them.
func (t *Tracker) CaughtUp(ownZone string, zones []string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.storeConfirmedAt.Before(since) {
		return true
	}
	confirmed := 0
	for _, zone := range zones {
		if at, ok := t.zonesConfirmedAt[zone]; ok && zone != ownZone && !at.Before(since) {
			confirmed++
		}
	}
	return confirmed >= len(zones)-len(zones)/2
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
