package gateway

import "time"

// maxCheckGap is the longest time between two checks in a process that runs.
const maxCheckGap = 10 * withdrawInterval

// suspension notices that the process was suspended: what arrived meanwhile has not been read yet.
// It is not safe for concurrent use.
type suspension struct {
	checkedAt, runningSince time.Time
}

// check records a regular check and returns since when the process has been running.
func (s *suspension) check(now time.Time) time.Time {
	if now.Sub(s.checkedAt) > maxCheckGap {
		s.runningSince = now
	}
	s.checkedAt = now
	return s.runningSince
}
