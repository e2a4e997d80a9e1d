package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// candidate is an endpoint that can take a job, with the predicted latency and the cost.
type candidate struct {
	*endpointSnapshot
	// predicted is the predicted time to the first event. cost is predicted plus the
	// penalty for an endpoint that another gateway owns.
	predicted time.Duration
	cost      time.Duration
	// tokens is the number of tokens that the job takes in the memory of an engine.
	tokens int
}

const (
	// maxDelayFraction is the fraction of the time left until the target time, less the
	// prefill of the job's own prompt, that the predicted delay caused by other requests
	// may use. It is below 1 because requests that arrive within the same pass delay the
	// first event further.
	maxDelayFraction = 0.75
	// negligibleDelay is the predicted delay caused by other requests up to which an
	// engine takes any job, even one whose target time has almost passed, because such an
	// engine has spare capacity.
	negligibleDelay = 120 * time.Millisecond
)

// selection is the result of the search for an endpoint.
type selection struct {
	// best is the best endpoint that can take the job now; it has no snapshot if there is none.
	best candidate
	// count is the number of endpoints that may take the job now or soon.
	count int
	// limitWait is the shortest time until an endpoint that takes no requests for now may take
	// the job, 0 if there is no such endpoint.
	limitWait time.Duration
	// withheld is true if there is no best endpoint only because places are reserved for other
	// jobs.
	withheld bool
	// lateFree is the number of slots of the endpoints that late jobs from this gateway may take.
	lateFree int
}

// selectEndpoint searches for an endpoint that can take the job.
func (d *Dispatcher) selectEndpoint(job *Job, config *configuration.Service, snapshots []endpointSnapshot, now time.Time) (found selection) {
	minVersion, tokens := d.minVersion(job), tokensOf(config.Engine, job)
	standing := d.standing(job, config, now)
	withheld := false
	for index := range snapshots {
		snapshot := &snapshots[index]
		if !eligible(job, snapshot, minVersion, now) || snapshot.exceedsMemory(tokens) {
			continue
		}
		if wait := snapshot.unavailableFor(); wait > maxPlainQueueTime {
			if found.limitWait == 0 || wait < found.limitWait {
				found.limitWait = wait
			}
			continue
		}
		if snapshot.exclusive && !snapshot.ownedBySelf {
			continue
		}
		found.count++
		if !snapshot.slotAvailable || !snapshot.hasMemory(tokens) {
			continue
		}
		found.lateFree += d.lateFree(standing, snapshot)
		next, onTime := d.evaluate(job, config, snapshot, now)
		onTime = onTime || standing.late
		if onTime && standing.withheld(snapshot, config) {
			withheld = !standing.late
			continue
		}
		if !onTime {
			continue
		}
		next.tokens = tokens
		d.addCandidate(&next)
		if found.best.endpointSnapshot == nil || next.betterThan(&found.best) {
			found.best = next
		}
	}
	found.withheld = withheld && found.best.endpointSnapshot == nil
	found.best = d.chooseAmongClose(config, found.best)
	return found
}

// unavailableFor returns how much longer the endpoint takes no requests from this gateway,
// because its limit is used up, another gateway holds it, or it has turned this one away.
func (s *endpointSnapshot) unavailableFor() time.Duration {
	wait := s.turnedAway
	switch {
	case !s.limited:
	case s.state.limit.held:
		wait = max(wait, s.limitWait)
	default:
		wait = max(wait, noEndpointRetryAfter)
	}
	return wait
}

// eligible reports whether the job may be sent to the endpoint now or later.
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
	version := snapshot.servedVersion(job, now)
	return version > 0 && version >= minVersion && (job.Version == 0 || version == job.Version)
}

// evaluate predicts the latency of the job at an endpoint and reports whether the delay
// caused by other requests there is acceptable.
func (d *Dispatcher) evaluate(job *Job, config *configuration.Service, snapshot *endpointSnapshot, now time.Time) (result candidate, onTime bool) {
	result = candidate{endpointSnapshot: snapshot}
	if config.Engine == nil {
		result.predicted = snapshot.predictCall()
		result.cost = result.predicted
		return result, true
	}
	result.predicted = predictLatency(config.Engine, snapshot.running, snapshot.pendingPrefill, job.PromptTokens, snapshot.pace)
	ownPrefill := prefillTime(config.Engine, job.PromptTokens)
	slack := time.Duration(maxDelayFraction * float64(job.TargetTime.Sub(now)-ownPrefill))
	onTime = result.predicted-ownPrefill <= max(slack, negligibleDelay)
	result.predicted = snapshot.slowed(result.predicted)
	result.cost = result.predicted + snapshot.ownershipPenalty()
	return result, onTime
}

// minVersion returns the lowest version of the model that may start the job, 0 if any may.
func (d *Dispatcher) minVersion(job *Job) int64 {
	if job.Model == "" {
		return 0
	}
	return d.MinVersion(job.Model)
}

// betterThan reports whether the candidate is preferable to another one: endpoints that
// are not degraded come first, then those with lower cost, fewer running requests and
// shorter distance.
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
