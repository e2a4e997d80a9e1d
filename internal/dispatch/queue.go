package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/scarcity"
)

// serviceState is the queue of a service and the rate of its requests.
type serviceState struct {
	// queue holds the queued jobs in the order in which they are served.
	queue []*queuedJob
	// late holds the queued late jobs for engines in order of arrival. They are served after
	// those in queue.
	late   []*queuedJob
	demand movingRate
	// lateStarts is the rate at which late jobs for engines are assigned.
	lateStarts movingRate
	lateCounts LateCounts
	// shares are the shares of the workspaces, if the jobs of the service are ranked.
	shares scarcity.Shares
	// returns are the returns promised to callers that were refused.
	returns scarcity.Returns
	// shortage records the jobs of this gateway that lacked a place, cellShortage also those of
	// the other gateways of the cell.
	shortage     scarcity.Shortage
	cellShortage scarcity.Shortage
	// withheld counts the jobs that found only places reserved for more urgent ones.
	withheld int
	// outageAt is when jobs last found no engine, or fewer engines than were about to serve.
	outageAt time.Time
}

// queuedJob is a job that waits for an endpoint until its deadline.
type queuedJob struct {
	job        *Job
	standing   standing
	enqueuedAt time.Time
	deadline   time.Time
	// reason is the reason for the refusal if the deadline passes.
	reason Reason
	// done is closed once grant or refusal is set. A decided job without a grant is refused.
	done    chan struct{}
	grant   *Grant
	refusal Refusal
}

func (q *queuedJob) accept(grant *Grant) {
	q.grant = grant
	close(q.done)
}

func (q *queuedJob) refuse(refusal Refusal) {
	q.refusal = refusal
	close(q.done)
}

func (q *queuedJob) decided() bool {
	select {
	case <-q.done:
		return true
	default:
		return false
	}
}

// before reports whether a job is served before another one: by rank, then jobs that
// were not late when they were queued, then by arrival.
func (q *queuedJob) before(other *queuedJob) bool {
	if q.standing.rank != other.standing.rank {
		return q.standing.rank < other.standing.rank
	}
	if late, otherLate := q.job.late(q.enqueuedAt), other.job.late(other.enqueuedAt); late != otherLate {
		return otherLate
	}
	return q.enqueuedAt.Before(other.enqueuedAt)
}

// hasJobAhead reports whether a queued job is served before the given one.
func (s *serviceState) hasJobAhead(job *Job, standing standing) bool {
	if standing.late && len(s.queue)+len(s.late) > 0 {
		return true
	}
	arriving := queuedJob{job: job, standing: standing, enqueuedAt: time.Now()}
	return len(s.queue) > 0 && s.queue[0].before(&arriving)
}

func (s *serviceState) enqueue(queued *queuedJob) {
	index, _ := slices.BinarySearchFunc(s.queue, queued, func(element, target *queuedJob) int {
		if element.before(target) {
			return -1
		}
		return 1
	})
	s.queue = slices.Insert(s.queue, index, queued)
}

func (s *serviceState) remove(queued *queuedJob) {
	if index := slices.Index(s.queue, queued); index >= 0 {
		s.queue = slices.Delete(s.queue, index, index+1)
	}
	if index := slices.Index(s.late, queued); index >= 0 {
		s.late = slices.Delete(s.late, index, index+1)
	}
}

// waiting returns the number of queued jobs.
func (s *serviceState) waiting() int { return len(s.queue) + len(s.late) }

// LateCounts counts the late jobs for the engines of a service since the start: those that were
// queued, that got an endpoint and that were refused.
type LateCounts struct {
	Queued  int
	Started int
	Refused int
}

// rateWindow is the time over which the request rate is averaged.
const rateWindow = 2 * time.Second

// movingRate is a moving average of events per second.
type movingRate struct {
	value     float64
	updatedAt time.Time
}

func (r *movingRate) record(now time.Time) {
	r.decay(now)
	r.value += 1 / rateWindow.Seconds()
}

func (r *movingRate) rate(now time.Time) float64 {
	r.decay(now)
	return r.value
}

func (r *movingRate) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); !r.updatedAt.IsZero() && elapsed > 0 {
		r.value *= max(0, 1-elapsed.Seconds()/rateWindow.Seconds())
	}
	r.updatedAt = now
}
