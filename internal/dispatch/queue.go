package dispatch

import (
	"slices"
	"time"
)

// serviceState is what the gateway knows about the requests for a service.
type serviceState struct {
	// waiting holds the jobs that wait, the first one at the front.
	waiting []*waiter
	demand  rate
}

// waiter is a job that waits for an endpoint.
type waiter struct {
	job    *Job
	since  time.Time
	giveUp time.Time
	// done is closed once grant or refusal is set.
	done    chan struct{}
	grant   *Grant
	refusal *Refusal
}

func (w *waiter) settle(grant *Grant) {
	w.grant = grant
	close(w.done)
}

func (w *waiter) refuse(refusal *Refusal) {
	w.refusal = refusal
	close(w.done)
}

func (w *waiter) settled() bool { return w.grant != nil || w.refusal != nil }

// before reports whether a job goes before another one: by priority, then those that
// can still be in time, then by arrival.
func (w *waiter) before(other *waiter) bool {
	if w.job.Priority != other.job.Priority {
		return w.job.Priority < other.job.Priority
	}
	if late, otherLate := w.job.late(w.since), other.job.late(other.since); late != otherLate {
		return otherLate
	}
	return w.since.Before(other.since)
}

// blocked reports whether a job that goes first waits.
func (s *serviceState) blocked(job *Job) bool {
	newcomer := waiter{job: job, since: time.Now()}
	return len(s.waiting) > 0 && s.waiting[0].before(&newcomer)
}

func (s *serviceState) add(added *waiter) {
	place, _ := slices.BinarySearchFunc(s.waiting, added, func(held, target *waiter) int {
		if held.before(target) {
			return -1
		}
		return 1
	})
	s.waiting = slices.Insert(s.waiting, place, added)
}

func (s *serviceState) remove(removed *waiter) {
	if place := slices.Index(s.waiting, removed); place >= 0 {
		s.waiting = slices.Delete(s.waiting, place, place+1)
	}
}

// rateWindow is the span over which requests a second are counted.
const rateWindow = 2 * time.Second

// rate counts events a second, as a moving average.
type rate struct {
	value float64
	last  time.Time
}

func (r *rate) note(now time.Time) {
	r.decay(now)
	r.value += 1 / rateWindow.Seconds()
}

func (r *rate) rate(now time.Time) float64 {
	r.decay(now)
	return r.value
}

func (r *rate) decay(now time.Time) {
	if passed := now.Sub(r.last); !r.last.IsZero() && passed > 0 {
		r.value *= max(0, 1-passed.Seconds()/rateWindow.Seconds())
	}
	r.last = now
}
