package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/fleet"
)

// candidate is an endpoint that may take a job.
type candidate struct {
	endpoint fleet.Endpoint
	state    *endpointState
	running  int
	unread   int
	age      time.Duration
	// room is true if the endpoint has a place for one more request.
	room     bool
	expected time.Duration
	grey     bool
	near     int
}

// overbook is the number of requests that an engine gets beyond its places, so that a
// place that becomes free is taken at once.
const overbook = 3

const (
	// timelyShare is the part of the time to the objective, less the reading of the own
	// prompt, that the predicted delay by others may take: requests that arrive within
	// the same pass delay the first event further.
	timelyShare = 0.55
	// idleDelay is the predicted delay by others up to which an engine takes any job,
	// also one that is late already: there is room for all.
	idleDelay = 120 * time.Millisecond
)

// candidates calls visit for each endpoint that may take the job.
func (d *Dispatcher) candidates(job *Job, now time.Time, visit func(candidate)) {
	view := d.View()
	described, known := d.Service(job.Service)
	if !known {
		return
	}
	demanded := d.demandedVersion(job)
	endpoints := view.Service(job.Service)
	for index := range endpoints {
		endpoint := &endpoints[index]
		if endpoint.Draining || view.Evacuated(endpoint.AvailabilityZone) || slices.Contains(job.Tried, endpoint.ID) {
			continue
		}
		if len(job.Regions) > 0 && !slices.Contains(job.Regions, endpoint.Region) {
			continue
		}
		state := d.state(endpoint.ID)
		state.noteEntry(endpoint, now)
		if state.replaced(endpoint, now) {
			continue
		}
		if job.Model != "" {
			version := state.version(endpoint, job.Model, now)
			if version == 0 || version < demanded || (job.Version > 0 && version != job.Version) {
				continue
			}
		}
		if state.health.paused(now) {
			continue
		}
		visit(d.candidate(job, described, endpoint, state, now))
	}
}

// demandedVersion returns the version below which the job may not begin.
func (d *Dispatcher) demandedVersion(job *Job) int64 {
	if job.Model == "" {
		return 0
	}
	return d.Demanded(job.Model)
}

func (d *Dispatcher) candidate(job *Job, described *configuration.Service, endpoint *fleet.Endpoint, state *endpointState, now time.Time) candidate {
	found := candidate{endpoint: *endpoint, state: state, grey: state.health.grey(now), near: d.distance(endpoint)}
	found.running, found.unread, found.age = state.load(now, d.shares)
	found.room = found.running < endpoint.Slots+overbook && d.coldRoom(described, state, now)
	if described.Engine != nil {
		found.expected = predict(described.Engine, found.running, found.unread, job.PromptTokens, state.pace(endpoint, now))
		own := readTime(described.Engine, job.PromptTokens)
		spare := time.Duration(timelyShare * float64(job.Objective.Sub(now)-own))
		found.room = found.room && found.expected-own <= max(spare, idleDelay)
	}
	return found
}

// coldRoom reports whether an endpoint in cold start bears one more request of this
// gateway now. Gateways share the bound alike.
func (d *Dispatcher) coldRoom(described *configuration.Service, state *endpointState, now time.Time) bool {
	if described.ColdRate <= 0 || !now.Before(state.coldUntil) {
		return true
	}
	requests, _ := state.sentSince(now.Add(-sendMemory))
	return float64(requests) < described.ColdRate/float64(1+len(d.shares))
}

// distance ranks how near an endpoint is to the gateway.
func (d *Dispatcher) distance(endpoint *fleet.Endpoint) int {
	switch {
	case endpoint.AvailabilityZone == d.AvailabilityZone:
		return 0
	case endpoint.Region == d.Region:
		return 1
	default:
		return 2
	}
}

// betterThan reports whether the candidate suits the job better than another one.
func (c *candidate) betterThan(other *candidate) bool {
	if c.grey != other.grey {
		return other.grey
	}
	if c.expected != other.expected {
		return c.expected < other.expected
	}
	if c.running != other.running {
		return c.running < other.running
	}
	return c.near < other.near
}
