// Package fakes provides small fakes of the platform, the endpoints and the
// links, for tests, the demo and benchmarks. Product packages must not import
// it.
package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// Link is a rate-limited link in virtual or real time. Transfers take turns in
// order of arrival. It is safe for concurrent use.
type Link struct {
	// Rate is in bytes a second.
	Rate float64
	// Latency is added to each transfer.
	Latency time.Duration

	mu           sync.Mutex
	freeAt       time.Time
	stalledUntil time.Time
	bytes        int64
}

// Bytes returns the bytes carried.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Stall carries nothing for the duration.
func (l *Link) Stall(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalledUntil = time.Now().Add(duration)
	if l.freeAt.Before(l.stalledUntil) {
		l.freeAt = l.stalledUntil
	}
}

// Stalled reports whether the link carries nothing now.
func (l *Link) Stalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.stalledUntil)
}

// Backlog returns the time that the link needs for what it was given.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.freeAt))
}

// Reserve books a transfer behind all earlier ones and returns when it starts
// and ends.
func (l *Link) Reserve(bytes int) (start, end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	start = time.Now()
	if l.freeAt.After(start) {
		start = l.freeAt
	}
	l.freeAt = start.Add(l.transferTime(bytes))
	l.bytes += int64(bytes)
	return start, l.freeAt.Add(l.Latency)
}

// share books a small transfer that fair queueing lets through at once; it
// delays the earlier transfers instead.
func (l *Link) reserveShared(bytes int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(l.transferTime(bytes))
	l.bytes += int64(bytes)
	return now.Add(l.transferTime(bytes) + l.Latency)
}

func (l *Link) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / l.Rate * float64(time.Second))
}

// Send carries bytes alone in order of arrival and returns the time taken.
func (l *Link) Send(ctx context.Context, bytes int) time.Duration {
	start := time.Now()
	_, end := l.Reserve(bytes)
	concurrency.Sleep(ctx, time.Until(end))
	return time.Since(start)
}

// SendChunk carries a chunk from an upload link to a download link.
func SendChunk(ctx context.Context, up, down *Link, bytes int) {
	start, upEnd := up.Reserve(bytes)
	concurrency.Sleep(ctx, time.Until(start))
	_, downEnd := down.Reserve(bytes)
	concurrency.Sleep(ctx, time.Until(latest(upEnd, downEnd)))
}

// SendSlice carries a small slice over an upload, a thin and a download link.
func SendSlice(ctx context.Context, up, interRegion, down *Link, bytes int) {
	concurrency.Sleep(ctx, time.Until(up.reserveShared(bytes)))
	_, end := interRegion.Reserve(bytes)
	concurrency.Sleep(ctx, time.Until(end))
	concurrency.Sleep(ctx, time.Until(down.reserveShared(bytes)))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
