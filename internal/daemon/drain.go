package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
)

// drainPoll is how often a drain looks for the end of the work in flight.
const drainPollInterval = 20 * time.Millisecond

// Drain counts the work in flight and refuses new work once it is closed. It
// is safe for concurrent use.
type Drain struct {
	mu       sync.Mutex
	closed   bool
	inFlight int
	stopping atomic.Bool
}

// Begin counts one piece of work, and reports false if the drain is closed.
func (d *Drain) Begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return false
	}
	d.inFlight++
	return true
}

// End ends one piece of work.
func (d *Drain) End() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// InFlight returns the work in flight.
func (d *Drain) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// MarkStopping marks the process as stopping while it still takes work.
func (d *Drain) MarkStopping() { d.stopping.Store(true) }

// Stopping reports whether the process is stopping.
func (d *Drain) Stopping() bool { return d.stopping.Load() }

// Close refuses new work from now on.
func (d *Drain) Close() {
	d.stopping.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
}

// Wait closes the drain and returns when nothing is in flight, or after the
// timeout.
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
