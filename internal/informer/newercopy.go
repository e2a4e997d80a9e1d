package informer

import "time"

// missedChangeDelay is how long a watch may take to report a change that another process has.
const missedChangeDelay = 250 * time.Millisecond

// newerCopy describes what is known of a newer copy at another process. The zero value means
// that none is known.
type newerCopy struct {
	// position is that of the copy, since the time at which it was first known.
	position Position
	since    time.Time
}

// RecordNewerCopy records the newest position of the copies at other processes.
func (i *Informer) RecordNewerCopy(position Position) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.newer.position.After(i.position) {
		i.newer = newerCopy{}
	}
	if i.newer.since.IsZero() && position.After(i.position) {
		i.newer = newerCopy{position: position, since: time.Now()}
	}
}

// Behind returns the position of a copy at another process that the local one has not reached, and
// for how long that copy has been known. The position is zero if there is none.
func (i *Informer) Behind() (Position, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.newer.position.After(i.position) {
		return Position{}, 0
	}
	return i.newer.position, time.Since(i.newer.since)
}

// missedChange reports whether another process has a change that the watch should have reported.
func (i *Informer) missedChange() bool {
	_, behind := i.Behind()
	return behind >= missedChangeDelay
}
