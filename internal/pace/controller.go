// Package pace decides how fast weights may use a link that live traffic
// shares. It does no I/O.
//
// The controller measures the queueing delay that each slice met, the round
// trip above the shortest one seen, and keeps it near a target: it speeds up
// while the queue is shorter and slows down as soon as it is longer. Live
// traffic lengthens the queue, so weights use what live traffic leaves.
package pace

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/duty"
)

const (
	// initialRate is the rate before the first measurement, in bytes a second.
	initialRate = 256 << 10
	// minRate keeps a starved sender probing, in bytes a second.
	minRate = 32 << 10
	// increaseShare is the growth of a rate for each slice without a queue.
	increaseShare = 0.1
	// increaseFloor is the least growth for each slice, in bytes a second, so
	// that slow senders catch up with fast ones.
	increaseFloor = 4 << 10
	// startShare is the growth for each slice until the first queue is met.
	startShare = 0.5
	// decreaseShare is the cut for a queue twice as long as the target.
	decreaseShare = 0.25
	// baseWindow is how long the shortest round trip counts.
	baseWindow = 20 * time.Second
)

// Controller paces the slices over one link. It is safe for concurrent use.
// Set the exported fields before the first call.
type Controller struct {
	// Target is the queueing delay to stay below.
	Target time.Duration
	// Unit scales the rate constants; 1 means bytes a second as given.
	Unit float64

	mu        sync.Mutex
	rate      float64
	next      time.Time
	base      time.Duration
	baseNext  time.Duration
	baseUntil time.Time
	lastCut   time.Time
}

// Rate returns the current rate in bytes a second.
func (c *Controller) Rate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()
	return c.rate
}

func (c *Controller) start() {
	if c.Unit == 0 {
		c.Unit = 1
	}
	if c.rate == 0 {
		c.rate = initialRate * c.Unit
	}
}

// Wait returns when the next slice may be requested.
func (c *Controller) Wait(ctx context.Context, bytes int) error {
	c.mu.Lock()
	c.start()
	now := time.Now()
	if c.next.Before(now) {
		c.next = now
	}
	pause := c.next.Sub(now)
	c.next = c.next.Add(time.Duration(float64(bytes) / c.rate * float64(time.Second)))
	c.mu.Unlock()
	if pause > 0 {
		duty.Sleep(ctx, pause)
	}
	return ctx.Err()
}

// Observe adjusts the rate to the round trip of one slice.
func (c *Controller) Observe(roundTrip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()
	now := time.Now()
	c.noteBase(now, roundTrip)
	queue := roundTrip - c.base
	excess := float64(queue-c.Target) / float64(c.Target)
	if excess < 0 {
		c.rate += -excess * c.increase()
		return
	}
	// One queue is seen by every slice in flight; it is answered once.
	if now.Sub(c.lastCut) < roundTrip {
		return
	}
	c.lastCut = now
	c.rate = max(minRate*c.Unit, c.rate*(1-decreaseShare*min(1, excess+0.5)))
}

// increase returns the growth for one slice without a queue.
func (c *Controller) increase() float64 {
	if c.lastCut.IsZero() {
		return c.rate * startShare
	}
	return max(c.rate*increaseShare, increaseFloor*c.Unit)
}

// Penalize slows down after a slice that failed or timed out.
func (c *Controller) Penalize() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()
	c.rate = max(minRate*c.Unit, c.rate/2)
}

// noteBase keeps the shortest round trip of the last one to two windows.
func (c *Controller) noteBase(now time.Time, roundTrip time.Duration) {
	if c.baseUntil.IsZero() {
		c.base, c.baseNext, c.baseUntil = roundTrip, roundTrip, now.Add(baseWindow)
	}
	if now.After(c.baseUntil) {
		c.base, c.baseNext, c.baseUntil = c.baseNext, roundTrip, now.Add(baseWindow)
	}
	c.base = min(c.base, roundTrip)
	c.baseNext = min(c.baseNext, roundTrip)
}
