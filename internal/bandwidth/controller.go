// Package bandwidth limits the rate at which weights are transferred over links
// that they share with live traffic. It does no I/O.
//
// Controller uses delay-based congestion control. It estimates the queueing
// delay of each slice as the round-trip time minus the shortest recent one, and
// keeps that delay near a target: it raises the rate while the delay is below
// the target and lowers it as soon as the delay is above. Live traffic lengthens
// the queue, so weights get only the bandwidth that live traffic leaves.
package bandwidth

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	// initialRate is the rate before the first measurement, in bytes per second.
	initialRate = 256 << 10
	// minRate is the lowest rate, in bytes per second, so that a starved sender
	// keeps probing the link.
	minRate = 32 << 10
	// startupGrowth is the relative rate increase per slice until the queueing
	// delay first reaches the target.
	startupGrowth = 0.5
	// steadyGrowth is the relative rate increase per slice without queueing delay
	// from then on.
	steadyGrowth = 0.05
	// minIncrease is the smallest rate increase per slice without queueing delay,
	// in bytes per second, so that slow senders catch up with fast ones.
	minIncrease = 4 << 10
	// maxDecrease is the largest relative rate decrease per slice whose queueing
	// delay exceeds the target.
	maxDecrease = 0.125
	// baseRTTWindow is the length of the windows over which the shortest round
	// trip is tracked.
	baseRTTWindow = 20 * time.Second
)

// Controller paces the slices sent over one link. It also limits the number of
// slices in flight, which bounds the queue that a fleet of senders can build. It
// is safe for concurrent use. Set the exported fields before the first call.
type Controller struct {
	// Target is the queueing delay above which the rate is lowered.
	Target time.Duration
	// RateScale is the factor applied to the rate constants; 0 means 1.
	RateScale float64

	// InFlight limits the number of slices in flight.
	InFlight concurrency.Semaphore

	mu               sync.Mutex
	rate             float64
	nextSend         time.Time
	baseRTT          time.Duration
	nextBaseRTT      time.Duration
	baseRTTWindowEnd time.Time
	queueObserved    bool
}

// Rate returns the current rate in bytes per second.
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

// Send waits until a slice of the given size may be sent, calls transfer, and
// adjusts the rate to the round-trip time that transfer returns. A negative
// round-trip time means that the transfer failed, and halves the rate.
func (c *Controller) Send(ctx context.Context, bytes int, transfer func() (roundTrip time.Duration, err error)) error {
	if err := c.InFlight.Acquire(ctx); err != nil {
		return err
	}
	defer c.InFlight.Release()
	pause, reserved := c.reserve(bytes)
	concurrency.Sleep(ctx, pause)
	if err := ctx.Err(); err != nil {
		c.cancel(reserved)
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

// reserve reserves the time to send a slice at the current rate. It returns how
// long to wait until that time begins, and its length.
func (c *Controller) reserve(bytes int) (pause, reserved time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initialize()
	now := time.Now()
	if c.nextSend.Before(now) {
		c.nextSend = now
	}
	pause = c.nextSend.Sub(now)
	reserved = time.Duration(float64(bytes) / c.rate * float64(time.Second))
	c.nextSend = c.nextSend.Add(reserved)
	return pause, reserved
}

// cancel frees the time that a slice reserved.
func (c *Controller) cancel(reserved time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextSend = c.nextSend.Add(-reserved)
}

// adjustRate adjusts the rate to the round-trip time of one slice.
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

// rateIncrease returns the rate increase for one slice without queueing delay.
func (c *Controller) rateIncrease() float64 {
	if !c.queueObserved {
		return c.rate * startupGrowth
	}
	return max(c.rate*steadyGrowth, minIncrease*c.RateScale)
}

// reduceAfterFailure halves the rate, down to the lowest rate, after a slice
// that failed or timed out.
func (c *Controller) reduceAfterFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rate = max(minRate*c.RateScale, c.rate/2)
}

// updateBaseRTT updates baseRTT, the shortest round-trip time in the last one to
// two windows.
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
