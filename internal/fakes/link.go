// Package fakes provides fakes of the platform, the endpoints and the network
// links for tests, benchmarks and the demo. Production packages must not import
// it.
package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// Link is a simulated rate-limited network link in virtual or real time. It
// serves transfers in order of arrival. It is safe for concurrent use.
type Link struct {
	// Rate is the bandwidth in bytes per second.
	Rate float64
	// Latency is added to each transfer.
	Latency time.Duration

	mu           sync.Mutex
	freeAt       time.Time
	stalledUntil time.Time
	bytes        int64
}

// Bytes returns the total size of the transfers so far, including reserved ones.
func (l *Link) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Stall pauses the link for the duration.
func (l *Link) Stall(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalledUntil = time.Now().Add(duration)
	if l.freeAt.Before(l.stalledUntil) {
		l.freeAt = l.stalledUntil
	}
}

// Stalled reports whether the link is paused by Stall.
func (l *Link) Stalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.stalledUntil)
}

// Backlog returns the time until all reserved transfers are finished.
func (l *Link) Backlog() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, time.Until(l.freeAt))
}

// Reserve schedules a transfer after all earlier ones and returns its start and
// end times.
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

// reserveShared schedules a small transfer that starts at once, as under fair
// queueing, and delays the transfers scheduled earlier. It returns the end time.
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

// Send transfers the bytes over the link, in order of arrival, and returns the
// time taken.
func (l *Link) Send(ctx context.Context, bytes int) time.Duration {
	start := time.Now()
	_, end := l.Reserve(bytes)
	concurrency.Sleep(ctx, time.Until(end))
	return time.Since(start)
}

// SendChunk transfers a chunk over an uplink and a downlink at the same time.
func SendChunk(ctx context.Context, up, down *Link, bytes int) {
	start, upEnd := up.Reserve(bytes)
	concurrency.Sleep(ctx, time.Until(start))
	_, downEnd := down.Reserve(bytes)
	concurrency.Sleep(ctx, time.Until(latest(upEnd, downEnd)))
}

// SendSlice transfers a small slice of a chunk over an uplink, an inter-region
// link and a downlink, one after the other.
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
