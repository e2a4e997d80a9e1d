// Package freshness decides whether a process may act on the configuration it
// holds. It does no I/O.
//
// A process is fresh in two ways: a reader confirmed the configuration with the
// object API a short time ago, or readers of a majority of the availability
// zones vouched for it a short time ago. Since a ticket counts as accepted only
// after readers of a majority of the zones acknowledged it, any vouching
// majority holds every accepted ticket. A process that can reach neither is
// isolated and must refuse new work.
package freshness

import (
	"sync"
	"time"
)

// MaxAge is how long a confirmation keeps a process fresh.
const MaxAge = 2500 * time.Millisecond

// Status says why a process may act, or that it may not.
type Status int

// The verdicts.
const (
	// Stale means that new work must be refused.
	Stale Status = iota
	// ConfirmedByMajority means that a majority of availability zones vouched.
	ConfirmedByMajority
	// ConfirmedByStore means that the object API confirmed the configuration.
	ConfirmedByStore
)

// String names the verdict as metrics and status pages show it.
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

// Ages tells how old a sender's confirmations are. Ages, unlike times, need no
// common clock.
type Ages struct {
	// StoreKnown is false if the object API never confirmed.
	StoreKnown bool
	Store      time.Duration
	Zones      map[string]time.Duration
}

// Tracker holds the newest confirmations. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	store time.Time
	zones map[string]time.Time
}

// NewTracker returns a tracker without confirmations.
func NewTracker() *Tracker { return &Tracker{zones: map[string]time.Time{}} }

// ConfirmStore records that the state held now includes all that the object
// API held at the given time.
func (t *Tracker) ConfirmStore(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.store = latest(t.store, at)
}

// ConfirmZone records that the state held now includes all that a reader of
// the zone held at the given time.
func (t *Tracker) ConfirmZone(zone string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zones[zone] = latest(t.zones[zone], at)
}

// Merge adds a sender's confirmations. The sender's state must have been merged
// before; asOf is a lower bound of the time at which it wrote the ages.
func (t *Tracker) Merge(ages Ages, asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ages.StoreKnown {
		t.store = latest(t.store, asOf.Add(-ages.Store))
	}
	for zone, age := range ages.Zones {
		t.zones[zone] = latest(t.zones[zone], asOf.Add(-age))
	}
}

// storeOnlyAge is the age up to which a confirmation by the object API makes those
// of the zones not worth sending.
const storeOnlyAge = time.Second

// Ages returns the confirmations for a receiver, leaving out those too old to
// matter, and those of the zones while the object API confirms.
func (t *Tracker) Ages(now time.Time) Ages {
	t.mu.Lock()
	defer t.mu.Unlock()
	ages := Ages{Zones: map[string]time.Duration{}}
	if age := now.Sub(t.store); !t.store.IsZero() && age <= MaxAge {
		ages.StoreKnown, ages.Store = true, age
		if age <= storeOnlyAge {
			return ages
		}
	}
	for zone, at := range t.zones {
		if age := now.Sub(at); age <= MaxAge {
			ages.Zones[zone] = age
		}
	}
	return ages
}

// Status returns the verdict at time now; zones lists every availability zone.
func (t *Tracker) Status(now time.Time, zones []string) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.store.IsZero() && now.Sub(t.store) <= MaxAge {
		return ConfirmedByStore
	}
	confirmed := 0
	for _, zone := range zones {
		if at, ok := t.zones[zone]; ok && now.Sub(at) <= MaxAge {
			confirmed++
		}
	}
	if len(zones) > 0 && 2*confirmed > len(zones) {
		return ConfirmedByMajority
	}
	return Stale
}

// CaughtUp reports whether the state held includes every ticket that was accepted
// up to the given time, because the object API confirmed it since then, or other
// zones did. The own zone does not count, since all that knew its acknowledgements
// may be gone; so many others must vouch that every majority, without the own
// zone, has one of them.
func (t *Tracker) CaughtUp(ownZone string, zones []string, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.store.Before(since) {
		return true
	}
	confirmed := 0
	for _, zone := range zones {
		if at, ok := t.zones[zone]; ok && zone != ownZone && !at.Before(since) {
			confirmed++
		}
	}
	return confirmed >= len(zones)-len(zones)/2
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
