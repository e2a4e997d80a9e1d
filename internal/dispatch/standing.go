package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/scarcity"
)

// standing is how a job competes with others for the endpoints of its service.
type standing struct {
	// late is true if the target time of a job for an engine has passed. Such a job takes only
	// free slots.
	late bool
	// rank orders the queue of the service; 0 is served first.
	rank int
	// reserve is the number of places of each engine that the job leaves to more urgent ones. For
	// a late job it counts from the slots, not from the places beyond them.
	reserve int
}

// lateReserve is the number of slots of each engine that late jobs leave free under scarcity. In
// simulations over 7 loads and 9 seeds, 0 and 4 slots scored slightly lower than 2.
const lateReserve = 2

// standing returns how a job competes now.
func (d *Dispatcher) standing(job *Job, config *configuration.Service, now time.Time) standing {
	result := standing{rank: job.Priority}
	if config == nil || config.Engine == nil {
		return result
	}
	result.late = job.late(now)
	short, scarce := d.service(job.Service).cellShortage.MostUrgent(now)
	if result.late {
		if scarce {
			result.reserve = min(lateReserve, config.Engine.Slots-1)
		}
		return result
	}
	ranks := d.ranks(job.Service)
	if !ranks.Ranked() {
		return result
	}
	result.rank = ranks.Of(job.Priority)
	if !scarce {
		return result
	}
	if scarcity.Exempt(job.ID) {
		result.rank = 0
		return result
	}
	if d.sharesApply(job) && d.service(job.Service).shares.Exceeded(job.Workspace, now) {
		result.rank++
	}
	result.reserve = scarcity.Reserve(result.rank, ranks.Of(short), config.Engine.Slots)
	return result
}

// sharesApply reports whether the job counts towards the share of a workspace.
func (d *Dispatcher) sharesApply(job *Job) bool {
	return job.Workspace != "" && job.Model != "" && d.ranks(job.Service).Ranked()
}

// ranks returns the ranks of a service's jobs.
func (d *Dispatcher) ranks(service string) scarcity.Ranks {
	if d.Priorities == nil {
		return nil
	}
	return d.Priorities(service)
}

// withheld reports whether the endpoint's remaining places are reserved for other jobs.
func (s standing) withheld(snapshot *endpointSnapshot, config *configuration.Service) bool {
	if s.late {
		return snapshot.running >= snapshot.endpoint.Slots-s.reserve || prefillTime(config.Engine, snapshot.pendingPrefill) > maxLatePrefill
	}
	return s.reserve > 0 && snapshot.running >= snapshot.endpoint.Slots+overcommittedSlots-s.reserve
}

// lateFree returns the number of slots of the endpoint that late jobs from this gateway may take.
// Gateways share the slots of an endpoint without owner.
func (d *Dispatcher) lateFree(standing standing, snapshot *endpointSnapshot) int {
	if !standing.late {
		return 0
	}
	free := max(0, snapshot.endpoint.Slots-standing.reserve-snapshot.running)
	if snapshot.owner == "" {
		free /= 1 + len(d.demandRatios)
	}
	return free
}

// recordLack records that a job for an engine had to queue or was refused for overload, if it
// was on time.
func (s *serviceState) recordLack(queued *queuedJob, now time.Time) {
	if queued.job.Model == "" || queued.standing.late {
		return
	}
	s.shortage.Record(queued.job.Priority, now)
	s.cellShortage.Record(queued.job.Priority, now)
}

// Scarce reports whether jobs of a service lacked places recently, at this gateway or another one
// of the cell.
func (d *Dispatcher) Scarce(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	current := d.services[service]
	if current == nil {
		return false
	}
	_, scarce := current.cellShortage.MostUrgent(time.Now())
	return scarce
}
