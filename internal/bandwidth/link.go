package bandwidth

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	// linkShare is the part of an instance's link that is dealt out; the rest
	// keeps queues from growing.
	linkShare = 0.95
	// maxDebt bounds the live traffic that is waited for, and maxPause the wait of
	// one piece, so that weights go on slowly when live traffic takes the whole link.
	maxDebt  = time.Second
	maxPause = time.Second
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

	// pieces is held by the piece of a chunk that goes next.
	pieces concurrency.Semaphore

	mu sync.Mutex
	// urgent is the time until which live traffic and slices take the link, all
	// the time until which anything does.
	urgent time.Time
	all    time.Time
}

// NoteLive counts live traffic.
func (l *Link) NoteLive(bytes int) {
	if l.Rate == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.urgent.Sub(now) > maxDebt {
		return
	}
	l.urgent = l.extend(l.urgent, now, bytes)
	l.all = l.extend(l.all, now, bytes)
}

// WaitSlice waits until a slice may use the link, or ctx ends.
func (l *Link) WaitSlice(ctx context.Context, bytes int) error {
	if l.Rate == 0 {
		return ctx.Err()
	}
	l.mu.Lock()
	now := time.Now()
	pause := l.urgent.Sub(now)
	l.urgent = l.extend(l.urgent, now, bytes)
	l.all = l.extend(l.all, now, bytes)
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
	if err := l.pieces.Acquire(ctx); err != nil {
		return err
	}
	defer l.pieces.Release()
	latest := time.Now().Add(maxPause)
	for {
		pause := l.take(bytes, latest)
		if pause == 0 {
			return ctx.Err()
		}
		if !concurrency.Sleep(ctx, pause) {
			return ctx.Err()
		}
	}
}

// take books bytes and returns 0 if the link is free, or the latest time has
// come. Otherwise it returns how long to wait.
func (l *Link) take(bytes int, latest time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.all.After(now) && now.Before(latest) {
		return min(l.all.Sub(now), latest.Sub(now))
	}
	l.all = l.extend(l.all, now, bytes)
	return 0
}

// extend books bytes after what the link carries until busy.
func (l *Link) extend(busy, now time.Time, bytes int) time.Time {
	if busy.Before(now) {
		busy = now
	}
	return busy.Add(time.Duration(float64(bytes) / (l.Rate * linkShare) * float64(time.Second)))
}
