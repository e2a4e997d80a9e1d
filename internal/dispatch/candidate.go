package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// candidate is an opening that a job could be sent to.
type candidate struct {
	*opening
	// expected is the predicted time to the first event, cost that and what speaks
	// against the endpoint besides.
	expected time.Duration
	cost     time.Duration
}

const (
	// timelyShare is the part of the time to the objective, less the reading of the own
	// prompt, that the predicted delay by others may take: requests that arrive within
	// the same pass delay the first event further.
	timelyShare = 0.75
	// idleDelay is the predicted delay by others up to which an engine takes any job,
	// also one that is late already: there is room for all.
	idleDelay = 120 * time.Millisecond
)

// choose returns the best of the openings that can take the job now, and how many may
// take it, now or later.
func (d *Dispatcher) choose(job *Job, described *configuration.Service, openings []opening, now time.Time) (best candidate, count int) {
	demanded := d.demandedVersion(job)
	for index := range openings {
		open := &openings[index]
		if !allowed(job, open, demanded, now) {
			continue
		}
		count++
		if !open.free {
			continue
		}
		found, timely := d.weigh(job, described, open, now)
		if timely && (best.opening == nil || found.betterThan(&best)) {
			best = found
		}
	}
	return best, count
}

// allowed reports whether the job may be sent to the endpoint, now or later.
func allowed(job *Job, open *opening, demanded int64, now time.Time) bool {
	if slices.Contains(job.Tried, open.endpoint.ID) {
		return false
	}
	if len(job.Regions) > 0 && !slices.Contains(job.Regions, open.endpoint.Region) {
		return false
	}
	if job.Model == "" {
		return true
	}
	version := open.state.version(open.endpoint, job.Model, now)
	return version > 0 && version >= demanded && (job.Version == 0 || version == job.Version)
}

// weigh predicts how the job would fare at an endpoint, and reports whether the others
// there delay it by no more than it bears.
func (d *Dispatcher) weigh(job *Job, described *configuration.Service, open *opening, now time.Time) (found candidate, timely bool) {
	found = candidate{opening: open}
	if described.Engine == nil {
		return found, true
	}
	found.expected = predict(described.Engine, open.running, open.unread, job.PromptTokens, open.pace)
	found.cost = found.expected + open.strangeness()
	own := readTime(described.Engine, job.PromptTokens)
	spare := time.Duration(timelyShare * float64(job.TargetTime.Sub(now)-own))
	return found, found.expected-own <= max(spare, idleDelay)
}

// demandedVersion returns the version below which the job may not begin.
func (d *Dispatcher) demandedVersion(job *Job) int64 {
	if job.Model == "" {
		return 0
	}
	return d.MinVersion(job.Model)
}

// betterThan reports whether the candidate suits the job better than another one.
func (c *candidate) betterThan(other *candidate) bool {
	if c.grey != other.grey {
		return other.grey
	}
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	if c.running != other.running {
		return c.running < other.running
	}
	return c.near < other.near
}
