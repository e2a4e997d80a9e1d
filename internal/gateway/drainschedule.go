package gateway

import "time"

const (
	// maxAcceptWindow is how long a stopping gateway accepts every request if the grace
	// period is long enough: callers use a directory response for up to three times its
	// TTL. It is shorter than that by the time in which the signal is handled.
	maxAcceptWindow = 3*time.Second - 200*time.Millisecond
	// maxCutMargin is how long before the end of the grace period the requests in flight are
	// canceled, maxAnswerTime how long the gateway then waits until they are answered.
	maxCutMargin  = time.Second
	maxAnswerTime = 300 * time.Millisecond
	// cutMarginFraction is the fraction of a short grace period that the margin takes.
	cutMarginFraction = 6
)

// drainSchedule holds the times of a planned stop. It is immutable.
type drainSchedule struct {
	startedAt time.Time
	// acceptUntil is the time until which every request is accepted.
	acceptUntil time.Time
	// cutAt is when the requests in flight are canceled, exitAt the latest time of the exit.
	cutAt  time.Time
	exitAt time.Time
}

// newDrainSchedule returns the schedule of a stop that must end within the grace period. A
// request that is accepted has at least half of the time until it would be cut off.
func newDrainSchedule(now time.Time, gracePeriod time.Duration) drainSchedule {
	cutMargin := min(maxCutMargin, gracePeriod/cutMarginFraction)
	cutAt := now.Add(gracePeriod - cutMargin)
	return drainSchedule{
		startedAt: now, acceptUntil: now.Add(min(maxAcceptWindow, cutAt.Sub(now)/2)),
		cutAt: cutAt, exitAt: cutAt.Add(min(maxAnswerTime, cutMargin/2)),
	}
}

// answerTime is how long the requests that are canceled may take until they are answered.
func (s *drainSchedule) answerTime() time.Duration { return s.exitAt.Sub(s.cutAt) }

// accepts reports whether a request may be accepted: one that arrives after acceptUntil must
// have its final response before cutAt.
func (s *drainSchedule) accepts(deadline, now time.Time) bool {
	return now.Before(s.acceptUntil) || (now.Before(s.cutAt) && deadline.Before(s.cutAt))
}
