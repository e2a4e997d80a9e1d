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
	// startupGrowth is the growth for each slice until the first queue is met.
	startupGrowth = 0.5
	// steadyGrowth is the steadyGrowth of a rate for each slice without a queue.
	steadyGrowth = 0.05
	// minIncrease is the least growth for each slice, in bytes a second, so
	// that slow senders catch up with fast ones.
	minIncrease = 4 << 10
	// maxDecrease is the largest cut for a queue longer than the target.
	maxDecrease = 0.125
	// baseRTTWindow is how long the shortest round trip counts.
	baseRTTWindow = 20 * time.Second
)

// Controller paces the slices over one link. Few slices are in flight, so the
// queue that a fleet of senders can build is bounded. It is safe for concurrent
// use. Set the exported fields before the first call.
type Controller struct {
	// Target is the queueing delay to stay below.
	Target time.Duration
	// RateScale scales the rate constants; 0 means bytes a second as given.
	RateScale float64

	// InFlight is taken while a slice is in flight.
	InFlight concurrency.Turn

	mu               sync.Mutex
	rate             float64
	nextSend         time.Time
	baseRTT          time.Duration
	nextBaseRTT      time.Duration
	baseRTTWindowEnd time.Time
	queueObserved    bool
}

// Rate returns the current rate in bytes a second.
func (c *Controller) Rate() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initialize()
	return c.rate
}

func (c *Controller) initialize() {
	if c.RateScale == 0 {
		c.RateScale = 1
	}
	if c.rate == 0 {
		c.rate = initialRate * c.RateScale
	}
}

// Send waits until a slice of the given size may be sent, transfers it, and
// adjusts the rate to the round trip that transfer reports. After a failed
// transfer, which transfer reports by a negative round trip, it slows down.
func (c *Controller) Send(ctx context.Context, bytes int, transfer func() (roundTrip time.Duration, err error)) error {
	if err := c.InFlight.Take(ctx); err != nil {
		return err
	}
	defer c.InFlight.Give()
	concurrency.Sleep(ctx, c.reserve(bytes))
	if err := ctx.Err(); err != nil {
		return err
	}
	roundTrip, err := transfer()
	switch {
	case roundTrip < 0:
		c.reduceAfterFailure()
	case err == nil:
		c.adjustRate(roundTrip)
	}
	return err
}

// reserve books the time for a slice and returns how long to wait for it.
func (c *Controller) reserve(bytes int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initialize()
	now := time.Now()
	if c.nextSend.Before(now) {
		c.nextSend = now
	}
	pause := c.nextSend.Sub(now)
	c.nextSend = c.nextSend.Add(time.Duration(float64(bytes) / c.rate * float64(time.Second)))
	return pause
}

// adjustRate adjusts the rate to the round trip of one slice.
func (c *Controller) adjustRate(roundTrip time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateBaseRTT(time.Now(), roundTrip)
	queueingDelay := roundTrip - c.baseRTT
	excess := float64(queueingDelay-c.Target) / float64(c.Target)
	if excess < 0 {
		c.rate += -excess * c.rateIncrease()
		return
	}
	c.queueObserved = true
	c.rate = max(minRate*c.RateScale, c.rate*(1-maxDecrease*min(1, excess)))
}

// rateIncrease returns the growth for one slice without a queue.
func (c *Controller) rateIncrease() float64 {
	if !c.queueObserved {
		return c.rate * startupGrowth
	}
	return max(c.rate*steadyGrowth, minIncrease*c.RateScale)
}

// reduceAfterFailure slows down after a slice that failed or timed out.
func (c *Controller) reduceAfterFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = max(minRate*c.RateScale, c.rate/2)
}

// updateBaseRTT keeps the shortest round trip of the last one to two windows.
func (c *Controller) updateBaseRTT(now time.Time, roundTrip time.Duration) {
	if c.baseRTTWindowEnd.IsZero() {
		c.baseRTT, c.nextBaseRTT, c.baseRTTWindowEnd = roundTrip, roundTrip, now.Add(baseRTTWindow)
	}
	if now.After(c.baseRTTWindowEnd) {
		c.baseRTT, c.nextBaseRTT, c.baseRTTWindowEnd = c.nextBaseRTT, roundTrip, now.Add(baseRTTWindow)
	}
	c.baseRTT = min(c.baseRTT, roundTrip)
	c.nextBaseRTT = min(c.nextBaseRTT, roundTrip)
}
