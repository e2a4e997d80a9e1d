package peering

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// readersPerRegion is the number of gateways that at least read the object store in
	// each region: the others receive changes without delay while one of them fails.
	readersPerRegion = 2
	// readerTimeout is the time without a digest after which a gateway no longer counts as
	// a reader. A change may be waiting, so it is shorter than aliveTimeout; it allows for
	// one lost exchange of digests.
	readerTimeout = 800 * time.Millisecond
	// readerKey is the key of the rendezvous order of readers.
	readerKey = "reader"
	// verifierKey is the start of the keys of the orders of readers that verify copies.
	verifierKey = "verifier/"
	// takeoverDelay is the delay, per rank, before another gateway reads the object store
	// in place of readers that do not.
	takeoverDelay = 400 * time.Millisecond
	// discoveryTime is how long after its start a gateway waits for the other ones before it reads
	// the object store. Gateways that start together find each other with the second or third
	// exchange with a seed. Until then, each would consider itself one of the first.
	discoveryTime = 350 * time.Millisecond
	// beginTime is how long after its start a gateway may count as a reader without a response
	// of the store. A large list takes most of it on a link that several readers share.
	beginTime = 2 * time.Second
	// settleTime is the time after the start of a gateway in which others that it knows
	// count as alive before their first digest: usually they start at the same time.
	settleTime = time.Second
)

// readerState is the time since which no gateway of the group before this one has been a
// reader.
type readerState struct {
	missingSince time.Time
}

// IsReader reports whether this gateway reads the object store for its group, the gateways of
// its cell and region. The first gateways of the group in the rendezvous order do; the others
// do so, one after the other, if no gateway before them reads it. A group lies within a cell,
// because digests show within readerTimeout that a reader has failed, and reports do not.
func (t *Table) IsReader() bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.Start) <= discoveryTime {
		return false
	}
	if len(t.peers) == 0 {
		return true
	}
	required := t.requiredReaders()
	before, readers := t.readersBefore(now)
	if before < required {
		return true
	}
	if readers > 0 || t.reader.missingSince.IsZero() {
		t.reader.missingSince = now
	}
	return now.Sub(t.reader.missingSince) > time.Duration(before-required+1)*takeoverDelay
}

// BeginsReading reports whether this gateway counts as a reader although it still waits for the first
// responses of the object store. Otherwise all others would take over while it receives a large
// list, and fill the link that they share.
func (t *Table) BeginsReading() bool { return time.Since(t.Start) <= beginTime && t.IsReader() }

// Verifies reports whether this gateway verifies that the object store answers watches of a kind:
// the first reader of its cell in an order that differs between kinds. The gateways of a cell
// fetch from each other what their own watches have missed.
func (t *Table) Verifies(kind string) bool {
	key := verifierKey + kind
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	score := membership.Score(key, t.Self.Name)
	cells := t.currentCells()
	ownCell := cells.Of(t.Self.Name)
	for name, entry := range t.peers {
		digest := &entry.peer.Digest
		reads := digest.ReadsStore && !digest.Stopping && now.Sub(entry.peer.ReceivedAt) <= readerTimeout
		if reads && cells.Of(name) == ownCell && membership.Score(key, name) > score {
			return false
		}
	}
	return true
}

// Anchors reports whether the watches of all kinds that this gateway verifies may rely on that of
// one kind. In a fleet of one cell, the kinds have different verifiers.
func (t *Table) Anchors(kind string) bool { return len(t.Cells().Names()) > 1 && t.Verifies(kind) }

// requiredReaders returns the number of readers of each group of the region: one, or more if
// the region has fewer cells than readersPerRegion. The caller must hold mu.
func (t *Table) requiredReaders() int {
	cells := t.currentCells().countIn(t.Self.Region)
	return (readersPerRegion + cells - 1) / cells
}

// readersBefore returns the number of live gateways of the group that rank before this one
// as readers, and the number of them that read the object store. The caller must hold mu.
func (t *Table) readersBefore(now time.Time) (before, readers int) {
	score := membership.Score(readerKey, t.Self.Name)
	cells := t.currentCells()
	ownCell := cells.Of(t.Self.Name)
	for name, entry := range t.peers {
		digest := &entry.peer.Digest
		if entry.member.Region != t.Self.Region || cells.Of(name) != ownCell || digest.Stopping || membership.Score(readerKey, name) < score {
			continue
		}
		switch known := !entry.peer.ReceivedAt.IsZero(); {
		case known && now.Sub(entry.peer.ReceivedAt) <= readerTimeout:
			before++
			if digest.ReadsStore || digest.BeginsReading {
				readers++
			}
		case !known && now.Sub(t.Start) < settleTime:
			before++
		}
	}
	return before, readers
}
