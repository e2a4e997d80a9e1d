package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// candidate is an opening that a job could be sent to.
type candidate struct {
	*endpointSnapshot
	// predicted is the predicted time to the first event, cost that and what speaks
	// against the endpoint besides.
	predicted time.Duration
	cost      time.Duration
}

const (
	// maxDelayFraction is the part of the time to the objective, less the reading of the own
	// prompt, that the predicted delay by others may take: requests that arrive within
	// the same pass delay the first event further.
	maxDelayFraction = 0.75
	// negligibleDelay is the predicted delay by others up to which an engine takes any job,
	// also one that is late already: there is room for all.
	negligibleDelay = 120 * time.Millisecond
)

// selectEndpoint returns the best of the openings that can take the job now, and how many may
// take it, now or later.
func (d *Dispatcher) selectEndpoint(job *Job, config *configuration.Service, snapshots []endpointSnapshot, now time.Time) (best candidate, count int) {
	minVersion := d.minVersion(job)
	for index := range snapshots {
		snapshot := &snapshots[index]
		if !eligible(job, snapshot, minVersion, now) {
			continue
		}
		count++
		if !snapshot.slotAvailable {
			continue
		}
		next, onTime := d.evaluate(job, config, snapshot, now)
		if onTime && (best.endpointSnapshot == nil || next.betterThan(&best)) {
			best = next
		}
	}
	return best, count
}

// eligible reports whether the job may be sent to the endpoint, now or later.
func eligible(job *Job, snapshot *endpointSnapshot, minVersion int64, now time.Time) bool {
	if slices.Contains(job.Tried, snapshot.endpoint.ID) {
		return false
	}
	if len(job.Regions) > 0 && !slices.Contains(job.Regions, snapshot.endpoint.Region) {
		return false
	}
	if job.Model == "" {
		return true
	}
	version := snapshot.state.version(snapshot.endpoint, job.Model, now)
	return version > 0 && version >= minVersion && (job.Version == 0 || version == job.Version)
}

// evaluate predicts how the job would fare at an endpoint, and reports whether the others
// there delay it by no more than it bears.
func (d *Dispatcher) evaluate(job *Job, config *configuration.Service, snapshot *endpointSnapshot, now time.Time) (evaluated candidate, onTime bool) {
	evaluated = candidate{endpointSnapshot: snapshot}
	if config.Engine == nil {
		return evaluated, true
	}
	evaluated.predicted = predictLatency(config.Engine, snapshot.running, snapshot.pendingPrefill, job.PromptTokens, snapshot.pace)
	evaluated.cost = evaluated.predicted + snapshot.ownershipPenalty()
	ownPrefill := prefillTime(config.Engine, job.PromptTokens)
	slack := time.Duration(maxDelayFraction * float64(job.TargetTime.Sub(now)-ownPrefill))
	return evaluated, evaluated.predicted-ownPrefill <= max(slack, negligibleDelay)
}

// minVersion returns the version below which the job may not begin.
func (d *Dispatcher) minVersion(job *Job) int64 {
	if job.Model == "" {
		return 0
	}
	return d.MinVersion(job.Model)
}

// betterThan reports whether the candidate suits the job better than another one.
func (c *candidate) betterThan(other *candidate) bool {
	if c.degraded != other.degraded {
		return other.degraded
	}
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	if c.running != other.running {
		return c.running < other.running
	}
	return c.distance < other.distance
}
