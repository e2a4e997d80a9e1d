package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/scarcity"
)

// findEndpoint returns the endpoints that can take the job, and the configuration of its
// service.
func (d *Dispatcher) findEndpoint(job *Job, now time.Time) (selection, *configuration.Service) {
	config, exists := d.Service(job.Service)
	if !exists {
		return selection{}, nil
	}
	return d.selectEndpoint(job, config, d.snapshotEndpoints(config, now), now), config
}

// admit assigns the job to an endpoint, queues it, or refuses it. A late job for an engine waits
// until limit at most.
func (d *Dispatcher) admit(service *serviceState, queued *queuedJob, limit, now time.Time) {
	found, config := d.findEndpoint(queued.job, now)
	queued.standing, queued.reason = d.standing(queued.job, config, now), Overloaded
	if queued.standing.late {
		d.admitLate(service, queued, found, config, limit, now)
		return
	}
	if found.count == 0 {
		d.refuseUnservable(service, queued, found, config, now)
		return
	}
	if found.best.endpointSnapshot != nil && !service.hasJobAhead(queued.job, queued.standing) {
		d.assign(queued, found, now)
		return
	}
	service.recordLack(queued, now)
	if found.withheld {
		service.withheld++
	}
	if queued.job.Immediate {
		queued.refuse(Refusal{Reason: Overloaded, RetryAfter: overloadedRetryAfter})
		return
	}
	queued.deadline = queueDeadline(config, queued.job, now)
	if !queued.deadline.After(now) {
		queued.refuse(d.overloaded(service, queued, now))
		return
	}
	service.enqueue(queued)
}

const (
	// maxModelQueueTime is the maximum time that a request for a model is queued. An earlier
	// refusal leaves the client time to try elsewhere.
	maxModelQueueTime = 150 * time.Millisecond
	// maxPlainQueueTime is the maximum time that a request to a plain service is queued.
	maxPlainQueueTime = 200 * time.Millisecond
)

// refusal returns the refusal of a job that no endpoint may take soon.
func (s selection) refusal() Refusal {
	if s.limitWait > 0 {
		return Refusal{Reason: EndpointLimited, RetryAfter: max(s.limitWait, noEndpointRetryAfter)}
	}
	return Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}
}

// queueDeadline returns the time until which a job may be queued.
func queueDeadline(config *configuration.Service, job *Job, now time.Time) time.Time {
	if config.Engine == nil {
		return now.Add(min(maxPlainQueueTime, job.Deadline.Sub(now)/2))
	}
	minLatency := predictLatency(config.Engine, config.Engine.Slots-1, 0, job.PromptTokens, 1)
	latestStart := job.TargetTime.Add(-minLatency)
	if maxDeadline := now.Add(maxModelQueueTime); maxDeadline.Before(latestStart) {
		return maxDeadline
	}
	return latestStart
}

// drainQueue assigns the queued jobs of a service that the endpoints can take.
func (d *Dispatcher) drainQueue(service *serviceState, config *configuration.Service, snapshots []endpointSnapshot, now time.Time) {
	if !slices.ContainsFunc(snapshots, func(snapshot endpointSnapshot) bool { return snapshot.slotAvailable }) {
		return
	}
	for _, queued := range slices.Clone(service.queue) {
		found := d.selectEndpoint(queued.job, config, snapshots, now)
		if found.best.endpointSnapshot == nil {
			continue
		}
		service.remove(queued)
		d.assignDrained(queued, found, config, now)
	}
	d.drainLate(service, config, snapshots, now)
}

// assignDrained assigns a queued job and brings the snapshot of its endpoint up to date.
func (d *Dispatcher) assignDrained(queued *queuedJob, found selection, config *configuration.Service, now time.Time) {
	snapshot := found.best.endpointSnapshot
	d.assign(queued, found, now)
	snapshot.running, snapshot.pendingPrefill, snapshot.digestAge = snapshot.state.totalLoad(now, d.demandRatios)
	snapshot.slotAvailable = d.hasFreeSlot(snapshot, config, now)
}

// drainAllQueues assigns the queued jobs of all services that can be sent now.
func (d *Dispatcher) drainAllQueues(now time.Time) {
	for name, service := range d.services {
		if config, exists := d.Service(name); exists && service.waiting() > 0 {
			d.drainQueue(service, config, d.snapshotEndpoints(config, now), now)
		}
	}
}

// drainQueueAt assigns the queued jobs of a service that one endpoint can take.
func (d *Dispatcher) drainQueueAt(name, endpointID string, now time.Time) {
	service := d.service(name)
	if config, exists := d.Service(name); exists && service.waiting() > 0 {
		d.drainQueue(service, config, d.snapshotEndpoint(config, endpointID, now), now)
	}
}

// assign grants the job the best endpoint and adds the job to its load.
func (d *Dispatcher) assign(queued *queuedJob, found selection, now time.Time) {
	job, best := queued.job, found.best
	service := d.service(job.Service)
	if queued.standing.late {
		service.lateStarts.record(now)
		service.lateCounts.Started++
	}
	if d.sharesApply(job) {
		service.shares.RecordReceived(job.Workspace, scarcity.Tokens(job.PromptTokens, job.ResponseTokens), now)
	}
	best.state.running++
	if best.limited {
		best.state.limit.tokens--
	}
	best.state.pendingPrefill += job.PromptTokens
	best.state.tokens += best.tokens
	best.state.recordSend(now, job.PromptTokens)
	local := &localGrant{dispatcher: d, state: best.state, endpoint: *best.endpoint, job: job, prefillPending: true, grantedAt: now, callFactor: best.callFactor(), tokens: best.tokens}
	queued.accept(&Grant{
		Endpoint: *best.endpoint, Version: job.Version, grantedAt: now, record: local.apply,
		Decision: Decision{
			Running: best.running, PendingPrefill: best.pendingPrefill, DigestAge: best.digestAge, PredictedLatency: best.predicted,
			QueueTime: now.Sub(queued.enqueuedAt), Owned: best.ownedBySelf, Candidates: found.count, Announcement: best.state.announced.Announcement,
			ServedVersion: best.servedVersion(job, now),
			Rank:          queued.standing.rank, Reserve: queued.standing.reserve, Late: queued.standing.late,
		},
	})
}
