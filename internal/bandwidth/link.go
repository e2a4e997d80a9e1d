package bandwidth

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	// usableShare is the fraction of the link rate that is allocated; the rest
	// keeps queues from growing.
	usableShare = 0.95
	// maxLiveBacklog bounds the backlog of live traffic that weights wait for, and
	// maxBlockWait bounds the wait of one block of a chunk, so that weights keep making
	// slow progress when live traffic uses the whole link.
	maxLiveBacklog = time.Second
	maxBlockWait   = time.Second
	// BlockBytes is the size of the blocks in which a chunk is sent and read.
	BlockBytes = 16 << 10
)

// Link allocates the bandwidth of one direction of an instance's link by
// priority. Live traffic is only counted and never waits. Slices, which are sent
// over links between regions, wait for live traffic and for other slices. Chunks
// wait for all other traffic. Link is safe for concurrent use. Set the exported
// field before the first call.
type Link struct {
	// Rate is the rate of the link in bytes per second; 0 means unlimited.
	Rate float64

	// blockLock is held by the one block of a chunk that may reserve the link
	// next.
	blockLock concurrency.Semaphore

	mu sync.Mutex
	// priorityBusyUntil is when the live traffic and the slices accounted for so
	// far have been sent; busyUntil is when all traffic has been sent.
	priorityBusyUntil time.Time
	busyUntil         time.Time
}

// RecordLiveTraffic accounts for bytes of live traffic. It ignores them while the
// backlog of live traffic and slices exceeds maxLiveBacklog.
func (l *Link) RecordLiveTraffic(bytes int) {
	if l.Rate == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.priorityBusyUntil.Sub(now) > maxLiveBacklog {
		return
	}
	l.priorityBusyUntil = l.reserveAfter(l.priorityBusyUntil, now, bytes)
	l.busyUntil = l.reserveAfter(l.busyUntil, now, bytes)
}

// WaitSlice waits until a slice may be sent over the link. It returns an error if
// ctx ends first, and then reserves nothing.
func (l *Link) WaitSlice(ctx context.Context, bytes int) error {
	if l.Rate == 0 {
		return ctx.Err()
	}
	l.mu.Lock()
	now := time.Now()
	pause := l.priorityBusyUntil.Sub(now)
	l.priorityBusyUntil = l.reserveAfter(l.priorityBusyUntil, now, bytes)
	l.busyUntil = l.reserveAfter(l.busyUntil, now, bytes)
	l.mu.Unlock()
	concurrency.Sleep(ctx, pause)
	if err := ctx.Err(); err != nil {
		l.cancelSlice(bytes)
		return err
	}
	return nil
}

// cancelSlice frees the time that a slice reserved.
func (l *Link) cancelSlice(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.priorityBusyUntil = l.priorityBusyUntil.Add(-l.sendTime(bytes))
	l.busyUntil = l.busyUntil.Add(-l.sendTime(bytes))
}

// WaitChunk waits until a block of a chunk may be sent over the link. It returns
// an error if ctx ends first. Only one block waits for the link at a time, and it
// reserves no bandwidth while it waits, so live traffic that arrives in the
// meantime goes first.
func (l *Link) WaitChunk(ctx context.Context, bytes int) error {
	if l.Rate == 0 {
		return ctx.Err()
	}
	if err := l.blockLock.Acquire(ctx); err != nil {
		return err
	}
	defer l.blockLock.Release()
	deadline := time.Now().Add(maxBlockWait)
	for {
		pause := l.tryReserve(bytes, deadline)
		if pause == 0 {
			return ctx.Err()
		}
		if !concurrency.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// tryReserve reserves the link for the given bytes and returns 0 if the link is
// idle or the deadline has passed. Otherwise it returns how long to wait before
// the next attempt.
func (l *Link) tryReserve(bytes int, deadline time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.busyUntil.After(now) && now.Before(deadline) {
		return min(l.busyUntil.Sub(now), deadline.Sub(now))
	}
	l.busyUntil = l.reserveAfter(l.busyUntil, now, bytes)
	return 0
}

// reserveAfter returns when a link that is busy until busyUntil will have sent
// the given bytes as well.
func (l *Link) reserveAfter(busyUntil, now time.Time, bytes int) time.Time {
	if busyUntil.Before(now) {
		busyUntil = now
	}
	return busyUntil.Add(l.sendTime(bytes))
}

// sendTime returns the time that the link needs for the given bytes.
func (l *Link) sendTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / (l.Rate * usableShare) * float64(time.Second))
}
