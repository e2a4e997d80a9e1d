// Package bandwidth decides how fast weights may use a link that they share
// with live traffic. It does no I/O.
//
// The controller measures the queueing delay that each slice met, the round
// trip above the shortest one seen, and keeps it near a target: it speeds up
// while the queue is shorter and slows down as soon as it is longer. Live
// traffic lengthens the queue, so weights use what live traffic leaves.
package bandwidth

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	// initialRate is the rate before the first measurement, in bytes a second.
	initialRate = 256 << 10
	// minRate keeps a starved sender probing, in bytes a second.
	minRate = 32 << 10
	// startShare is the growth for each slice until the first queue is met.
	startShare = 0.5
	// increaseShare is the growth of a rate for each slice without a queue.
	increaseShare = 0.05
	// increaseFloor is the least growth for each slice, in bytes a second, so
	// that slow senders catch up with fast ones.
	increaseFloor = 4 << 10
	// decreaseShare is the largest cut for a queue longer than the target.
	decreaseShare = 0.125
	// baseWindow is how long the shortest round trip counts.
	baseWindow = 20 * time.Second
)

// Controller paces the slices over one link. Few slices are in flight, so the
// queue that a fleet of senders can build is bounded. It is safe for concurrent
// use. Set the exported fields before the first call.
type Controller struct {
	// Target is the queueing delay to stay below.
	Target time.Duration
	// Unit scales the rate constants; 0 means bytes a second as given.
	Unit float64

	// InFlight is taken while a slice is in flight.
	InFlight concurrency.Semaphore

	mu        sync.Mutex
	rate      float64
	next      time.Time
	base      time.Duration
	baseNext  time.Duration
	baseUntil time.Time
	cut       bool
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

// Send waits until a slice of the given size may be sent, transfers it, and
// adjusts the rate to the round trip that transfer reports. After a failed
// transfer, which transfer reports by a negative round trip, it slows down.
func (c *Controller) Send(ctx context.Context, bytes int, transfer func() (roundTrip time.Duration, err error)) error {
	if err := c.InFlight.Acquire(ctx); err != nil {
		return err
	}
	defer c.InFlight.Release()
	concurrency.Sleep(ctx, c.reserve(bytes))
	if err := ctx.Err(); err != nil {
		return err
	}
	roundTrip, err := transfer()
	switch {
	case roundTrip < 0:
		c.penalize()
	case err == nil:
		c.observe(roundTrip)
	}
	return err
}

// reserve books the time for a slice and returns how long to wait for it.
func (c *Controller) reserve(bytes int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.start()
	now := time.Now()
	if c.next.Before(now) {
		c.next = now
	}
	pause := c.next.Sub(now)
	c.next = c.next.Add(time.Duration(float64(bytes) / c.rate * float64(time.Second)))
	return pause
}

// observe adjusts the rate to the round trip of one slice.
func (c *Controller) observe(roundTrip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteBase(time.Now(), roundTrip)
	queue := roundTrip - c.base
	excess := float64(queue-c.Target) / float64(c.Target)
	if excess < 0 {
		c.rate += -excess * c.increase()
		return
	}
	c.cut = true
	c.rate = max(minRate*c.Unit, c.rate*(1-decreaseShare*min(1, excess)))
}

// increase returns the growth for one slice without a queue.
func (c *Controller) increase() float64 {
	if !c.cut {
		return c.rate * startShare
	}
	return max(c.rate*increaseShare, increaseFloor*c.Unit)
}

// penalize slows down after a slice that failed or timed out.
func (c *Controller) penalize() {
	c.mu.Lock()
	defer c.mu.Unlock()
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
