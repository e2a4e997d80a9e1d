package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/scarcity"
)

const (
	// lateJobsPerSlot is the maximum number of late jobs that a gateway queues for each slot of
	// its share of the engines. Jobs beyond that would start later than their callers wait.
	lateJobsPerSlot = 2
	// maxLateMisses is the number of late jobs without an endpoint after which the rest of the
	// queue is left for later, since late jobs rarely differ in the endpoints that may take them.
	maxLateMisses = 4
	// maxLatePrefill is the time that an engine needs for the pending prompts from which on it
	// takes no late job: a job on time would be delayed by half of it. In simulations, 120 ms scored
	// slightly lower.
	maxLatePrefill = 40 * time.Millisecond
)

// admitLate assigns a late job to an engine with a free slot, queues it behind all other jobs if
// it is predicted to start early enough, or refuses it. It waits until limit at most.
func (d *Dispatcher) admitLate(service *serviceState, queued *queuedJob, found selection, config *configuration.Service, limit, now time.Time) {
	if found.count == 0 && found.limitWait > 0 {
		queued.refuse(found.refusal())
		return
	}
	forecast, places := d.forecast(service, queued.job, found, config, now)
	if found.best.endpointSnapshot != nil && len(service.queue) == 0 {
		if len(service.late) > 0 {
			snapshots := d.snapshotEndpoints(config, now)
			d.drainLate(service, config, snapshots, now)
			found = d.selectEndpoint(queued.job, config, snapshots, now)
		}
		if found.best.endpointSnapshot != nil {
			d.assign(queued, found, now)
			return
		}
	}
	wait := time.Duration(0)
	if !queued.job.Immediate && len(service.late) < lateJobsPerSlot*places {
		wait = forecast.MaxWait(len(service.late)+1, queued.job.Deadline.Sub(now), responseTime(config.Engine, queued.job))
	}
	queued.reason = Overloaded
	if found.count == 0 {
		queued.reason = NoEndpoint
	}
	if queued.deadline = now.Add(wait); wait <= 0 || queued.deadline.After(limit) {
		service.lateCounts.Refused++
		queued.refuse(Refusal{Reason: queued.reason, RetryAfter: d.retryAfter(service, queued, forecast, now)})
		return
	}
	service.lateCounts.Queued++
	service.late = append(service.late, queued)
}

// responseTime returns the expected time from the start of a job to its last event at a full
// engine.
func responseTime(engineConfig *configuration.Engine, job *Job) time.Duration {
	if engineConfig.TokensPerEvent == 0 {
		return 0
	}
	passes := float64(job.ResponseTokens)/float64(engineConfig.TokensPerEvent) + passesUntilFirstEvent
	pass := decodePassTime(engineConfig, engineConfig.Slots) + meanPrefillPerPass(engineConfig, engineConfig.Slots)
	return prefillTime(engineConfig, job.PromptTokens) + time.Duration(passes*pass*float64(time.Second))
}

// waitLimit returns the time until which a job may be queued at most: ctx may end before the
// deadline of the job, for example because another cell waits for an answer.
func waitLimit(ctx context.Context, job *Job) time.Time {
	if limit, exists := ctx.Deadline(); exists && limit.Before(job.Deadline) {
		return limit
	}
	return job.Deadline
}

// forecast returns what is known about the next starts of late jobs, and the slots of this
// gateway's share of the engines.
func (d *Dispatcher) forecast(service *serviceState, job *Job, found selection, config *configuration.Service, now time.Time) (scarcity.Forecast, int) {
	engines := d.engineShare(config, now)
	places := int(engines * float64(config.Engine.Slots))
	result := scarcity.Forecast{Places: found.lateFree, StartRate: service.lateStarts.rate(now)}
	if engines > 0 {
		result.StartInterval = time.Duration(float64(lateStartInterval(config.Engine)) / engines)
	}
	capacityRate := 0.0
	if interval := slotReleaseInterval(config.Engine); interval > 0 {
		capacityRate = engines / interval.Seconds()
	}
	if found.count > 0 && len(d.readyTimes(job, now)) <= found.count {
		if now.Sub(service.outageAt) < rateWindow {
			// The recent starts are those of the outage.
			result.StartRate = max(result.StartRate, capacityRate)
		}
		return result, max(1, places)
	}
	// If most engines are about to serve, the few that do are full, and late jobs start with the
	// others.
	service.outageAt = now
	result.Outage, result.Places, result.StartRate = true, places, capacityRate
	result.ReadyIn, result.ReadyKnown = d.expectedReadiness(job, now)
	return result, max(1, places)
}

// lateStartInterval returns the time between the starts of two late jobs at an idle engine, where
// pending prompts beyond maxLatePrefill hold up the next one.
func lateStartInterval(engineConfig *configuration.Engine) time.Duration {
	together := 1.0
	if prefill := prefillTime(engineConfig, engineConfig.MeanPromptTokens); prefill > 0 {
		together += float64(maxLatePrefill / prefill)
	}
	return time.Duration(float64(predictLatency(engineConfig, 0, 0, engineConfig.MeanPromptTokens, 1)) / together)
}

// expectedReadiness returns the time until engines are expected to serve jobs like this one
// again, and false if that is not known.
func (d *Dispatcher) expectedReadiness(job *Job, now time.Time) (time.Duration, bool) {
	if d.readiness != nil {
		return d.readiness(job, now)
	}
	return d.readyIn(job, now)
}

// engineShare returns the number of engines of the service whose places this gateway expects to
// use: those that it owns, or an even share of the cell's engines.
func (d *Dispatcher) engineShare(config *configuration.Service, now time.Time) float64 {
	owners := d.ownershipOf(d.View(), config.Name, now)
	if owners.owners == nil {
		return float64(len(owners.inCell)) / float64(max(1, len(owners.gateways)))
	}
	return float64(len(owners.ownedBy(d.Self.Name)))
}

// drainLate assigns the late jobs that the endpoints can take, unless other jobs are queued.
func (d *Dispatcher) drainLate(service *serviceState, config *configuration.Service, snapshots []endpointSnapshot, now time.Time) {
	misses := 0
	for _, queued := range slices.Clone(service.late) {
		if len(service.queue) > 0 || misses == maxLateMisses {
			return
		}
		found := d.selectEndpoint(queued.job, config, snapshots, now)
		if found.best.endpointSnapshot == nil {
			misses++
			continue
		}
		service.remove(queued)
		d.assignDrained(queued, found, config, now)
	}
}
