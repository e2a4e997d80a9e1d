// Package stopwatch measures elapsed time including the time for which the machine was suspended,
// which the monotonic clock does not count.
package stopwatch

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stopwatch measures the time since its start.
type Stopwatch struct {
	startedAt     time.Time
	startBootTime time.Duration
	bootTime      func() time.Duration
}

// Start returns a stopwatch that starts now. The function bootTime returns the time since the
// machine started, usually BootTime.
func Start(bootTime func() time.Duration) Stopwatch {
	return Stopwatch{startedAt: time.Now(), startBootTime: bootTime(), bootTime: bootTime}
}

// Elapsed returns the time since the start, 0 for the zero value.
func (s Stopwatch) Elapsed() time.Duration {
	if s.bootTime == nil {
		return 0
	}
	return max(time.Since(s.startedAt), s.bootTime()-s.startBootTime)
}

// BootTime returns the time since the machine started, or 0 if the system has no such clock.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
