package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
)

// drainPollInterval is the interval at which a drain checks for requests in
// flight.
const drainPollInterval = 20 * time.Millisecond

// Drain counts the requests in flight and refuses new requests after it is
// closed. The zero value is ready to use. It is safe for concurrent use.
type Drain struct {
	mu       sync.Mutex
	closed   bool
	inFlight int
	stopping atomic.Bool
}

// Begin counts a request in flight. It reports false if the drain is closed.
func (d *Drain) Begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.inFlight++
	return true
}

// End ends a request that Begin counted.
func (d *Drain) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// MarkStopping marks the process as stopping. New requests are still accepted.
func (d *Drain) MarkStopping() { d.stopping.Store(true) }

// Stopping reports whether the process is stopping.
func (d *Drain) Stopping() bool { return d.stopping.Load() }

// Close marks the process as stopping and refuses new requests from then on.
func (d *Drain) Close() {
	d.stopping.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Wait closes the drain and returns when no request is in flight, when the
// timeout has expired, or when ctx is done.
func (d *Drain) Wait(ctx context.Context, timeout time.Duration, log *event.Logger) {
	d.Close()
	log.Emit(event.DrainStarted, event.Fields{"inFlight": d.InFlight()})
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for d.InFlight() > 0 {
		if !concurrency.Sleep(ctx, drainPollInterval) {
			log.Emit(event.DrainTimedOut, event.Fields{"inFlight": d.InFlight()})
			return
		}
	}
	log.Emit(event.DrainEnded, event.Fields{})
}
