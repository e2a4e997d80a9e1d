package bandwidth

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	// usableShare is the part of an instance's link that is dealt out; the rest
	// keeps queues from growing.
	usableShare = 0.95
	// maxLiveBacklog bounds the live traffic that is waited for, and maxPause the wait of
	// one piece, so that weights go on slowly when live traffic takes the whole link.
	maxLiveBacklog = time.Second
	maxPieceWait   = time.Second
	// PieceBytes is how much of a chunk is sent or read at a time.
	PieceBytes = 16 << 10
)

// Link deals out one direction of an instance's link. Live traffic is only
// counted and never waits. Slices for links between regions wait for live traffic
// and for each other; chunks wait for everything. It is safe for concurrent use.
// Set the exported field before the first call.
type Link struct {
	// Rate is in bytes a second; 0 means that nothing waits.
	Rate float64

	// pieceTurn is held by the piece of a chunk that goes next.
	pieceTurn concurrency.Turn

	mu sync.Mutex
	// priorityBusyUntil is the time until which live traffic and slices take the link, all
	// the time until which anything does.
	priorityBusyUntil time.Time
	busyUntil         time.Time
}

// RecordLiveTraffic counts live traffic.
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

// WaitSlice waits until a slice may use the link, or ctx ends.
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
	return ctx.Err()
}

// WaitChunk waits until a piece of a chunk may use the link, or ctx ends. Pieces
// take turns, so that one that waits falls behind live traffic that comes later.
func (l *Link) WaitChunk(ctx context.Context, bytes int) error {
	if l.Rate == 0 {
		return ctx.Err()
	}
	if err := l.pieceTurn.Take(ctx); err != nil {
		return err
	}
	defer l.pieceTurn.Give()
	deadline := time.Now().Add(maxPieceWait)
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

// tryReserve books bytes and returns 0 if the link is free, or the latest time has
// come. Otherwise it returns how long to wait.
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

// reserveAfter books bytes after what the link carries until busy.
func (l *Link) reserveAfter(busyUntil, now time.Time, bytes int) time.Time {
	if busyUntil.Before(now) {
		busyUntil = now
	}
	return busyUntil.Add(time.Duration(float64(bytes) / (l.Rate * usableShare) * float64(time.Second)))
}
