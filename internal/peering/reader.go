package peering

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// readersPerRegion is the number of gateways that read the object store in each
	// region: the others receive changes without delay while one of them fails.
	readersPerRegion = 2
	// readerKey is the key of the rendezvous order of readers.
	readerKey = "reader"
	// takeoverDelay is the delay, per rank, before another gateway reads the object store
	// in place of readers that do not.
	takeoverDelay = 400 * time.Millisecond
	// discoveryTime is how long after its start a gateway that knows no other waits for
	// the seeds before it reads the object store.
	discoveryTime = 150 * time.Millisecond
	// settleTime is the time after the start of a gateway in which others that it knows
	// count as alive before their first digest: usually they start at the same time.
	settleTime = time.Second
)

// readerState is the time since which no gateway of the region before this one has been a
// reader.
type readerState struct {
	missingSince time.Time
}

// IsReader reports whether this gateway reads the object store for its region. The first
// readersPerRegion gateways in the rendezvous order do; the others do so, one after the
// other, if no gateway before them reads it.
func (t *Table) IsReader() bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.peers) == 0 {
		return now.Sub(t.Start) > discoveryTime
	}
	before, readers := t.readersBefore(now)
	if before < readersPerRegion {
		return true
	}
	if readers > 0 || t.reader.missingSince.IsZero() {
		t.reader.missingSince = now
	}
	return now.Sub(t.reader.missingSince) > time.Duration(before-readersPerRegion+1)*takeoverDelay
}

// readersBefore returns the number of live gateways of the region that rank before this
// one as readers, and the number of them that read the object store.
func (t *Table) readersBefore(now time.Time) (before, readers int) {
	score := membership.Score(readerKey, t.Self.Name)
	cells := t.currentCells()
	ownCell := cells.Of(t.Self.Name)
	for name, entry := range t.peers {
		digest := &entry.peer.Digest
		if entry.member.Region != t.Self.Region || digest.Stopping || membership.Score(readerKey, name) < score {
			continue
		}
		switch {
		case entry.alive(cells.Of(name) == ownCell, now):
			before++
			if digest.ReadsStore {
				readers++
			}
		case entry.peer.ReceivedAt.IsZero() && now.Sub(t.Start) < settleTime:
			before++
		}
	}
	return before, readers
}
