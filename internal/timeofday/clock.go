// Package timeofday provides a time of day that does not show steps ahead of the system's clock, for
// times that other processes or later ones compare with theirs.
package timeofday

import (
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/stopwatch"
)

// stepWindow is the time within which a step ahead of the clock does not show. A step that lasts
// longer is taken for a correction.
const stepWindow = time.Minute

// Clock is a time of day. Observe must be called regularly. It is safe for concurrent use.
type Clock struct {
	start   time.Time
	elapsed stopwatch.Stopwatch

	mu sync.Mutex
	// current and previous are the smallest differences, in the current half of the window and the
	// one before, between the time of day and the elapsed time.
	current, previous time.Duration
	halfStartedAt     time.Duration
}

// New returns a clock that starts with the time of day of the system.
func New() *Clock {
	return &Clock{start: time.Now(), elapsed: stopwatch.Start(stopwatch.BootTime)}
}

// Observe compares the time of day with the elapsed time.
func (c *Clock) Observe() { c.observe(time.Now().Round(0)) }

func (c *Clock) observe(systemTime time.Time) {
	elapsed := c.elapsed.Elapsed()
	difference := systemTime.Sub(c.start.Round(0)) - elapsed
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed-c.halfStartedAt >= stepWindow/2 {
		c.previous, c.current, c.halfStartedAt = c.current, difference, elapsed
	}
	c.current = min(c.current, difference)
}

// Now returns the time of day, without the steps ahead within stepWindow.
func (c *Clock) Now() time.Time {
	c.Observe()
	elapsed := c.elapsed.Elapsed()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.start.Round(0).Add(elapsed + min(c.current, c.previous))
}
