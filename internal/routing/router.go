// Package routing chooses the endpoint to which an entry sends a request. It does
// no I/O. The endpoint's agent may still refuse the request.
//
// An entry uses a bounded subset of each pool, chosen by rendezvous hashing,
// so that the number of connections and the state of an entry do not grow with
// the fleet.
package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// affinityMaxLoad is the load below which the endpoint that a request's
	// prefix hashes to, and that may therefore have it cached, is preferred.
	affinityMaxLoad = 0.75
	// spilloverLoad is the load at and above which an endpoint is passed over in
	// favor of a farther one with a lower load.
	spilloverLoad = 0.9
	// reportMaxAge is the age beyond which a load report is ignored.
	reportMaxAge = 5 * time.Second
	// failureBackoff is how long an endpoint that did not respond is excluded.
	failureBackoff = 2 * time.Second
)

// Router chooses endpoints for one entry. Set the exported fields before the
// first call; the methods are safe for concurrent use.
type Router struct {
	Self       membership.Instance
	SubsetSize int
	// Pick, if set, replaces the choice among the candidates at one distance;
	// load returns the fraction of an endpoint's limit in use. The default is
	// prefix affinity, then the less loaded of two random candidates.
	Pick func(request Request, candidates []membership.Instance, load func(name string) float64) membership.Instance

	mu        sync.Mutex
	endpoints map[string]*endpointState
	subsets   map[string]poolSubset
}

// endpointState is the entry's view of one endpoint.
type endpointState struct {
	// inFlight is the number of requests that this entry has at the endpoint.
	inFlight   int
	lastReport admission.Load
	reportedAt time.Time
	// inFlightAtReport is the value of inFlight when the last report arrived.
	inFlightAtReport int
	pausedUntil      time.Time
}

// poolSubset is the subset of a pool that the entry uses, computed for one
// version of the instance list.
type poolSubset struct {
	version int64
	members []membership.Instance
}

// Request describes a request to be routed.
type Request struct {
	Pool string
	// PrefixKey identifies the prompt prefix that an endpoint may have cached. If
	// it is empty, there is no prefix affinity.
	PrefixKey string
	// Tried lists the names of the endpoints that have already refused the
	// request.
	Tried []string
}

// Choose returns the endpoint to send the request to: the nearest choice with a
// load below spilloverLoad, or else the nearest choice. It reports false if no
// endpoint is eligible.
func (r *Router) Choose(request Request, view *membership.View, snapshot *desiredstate.Snapshot) (membership.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	best, found := membership.Instance{}, false
	for distance := range maxDistance {
		candidates := r.eligibleEndpoints(request, view, snapshot, now, distance)
		if len(candidates) == 0 {
			continue
		}
		chosen := r.pickEndpoint(request, candidates, now)
		if !found || r.load(chosen.Name, now) < spilloverLoad {
			best, found = chosen, true
		}
		if r.load(best.Name, now) < spilloverLoad {
			return best, true
		}
	}
	return best, found
}

// Distances from an entry to an endpoint, the nearest first.
const (
	sameZone = iota
	sameRegion
	otherRegion
	maxDistance
)

func (r *Router) distance(instance membership.Instance) int {
	switch {
	case instance.AvailabilityZone == r.Self.AvailabilityZone:
		return sameZone
	case instance.Region == r.Self.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// eligibleEndpoints returns the members of the pool's subset at the given
// distance that may be sent the request: in service, not paused and not yet
// tried.
func (r *Router) eligibleEndpoints(request Request, view *membership.View, snapshot *desiredstate.Snapshot, now time.Time, distance int) []membership.Instance {
	var eligible []membership.Instance
	for _, member := range r.subset(request.Pool, view) {
		if r.distance(member) != distance || slices.Contains(request.Tried, member.Name) {
			continue
		}
		if !snapshot.ZoneInService(member.AvailabilityZone) || !snapshot.EndpointAcceptsWork(member.Name) {
			continue
		}
		if state := r.endpoints[member.Name]; state != nil && now.Before(state.pausedUntil) {
			continue
		}
		eligible = append(eligible, member)
	}
	return eligible
}

// subset returns the members of the pool that this entry uses: all of them if
// there are at most SubsetSize. Otherwise up to half of the subset, or more if the
// other zones have too few members, is in this entry's availability zone, so that
// the subset includes near endpoints.
func (r *Router) subset(pool string, view *membership.View) []membership.Instance {
	cached, ok := r.subsets[pool]
	if ok && cached.version == view.Version() {
		return cached.members
	}
	members := view.Pool(pool)
	if len(members) > r.SubsetSize {
		local, remote := r.splitByZone(members)
		localCount := max(r.SubsetSize/2, r.SubsetSize-len(remote))
		members = append(r.topRanked(local, localCount), r.topRanked(remote, r.SubsetSize-min(localCount, len(local)))...)
	}
	if r.subsets == nil {
		r.subsets = map[string]poolSubset{}
	}
	r.subsets[pool] = poolSubset{version: view.Version(), members: members}
	return members
}

func (r *Router) splitByZone(members []membership.Instance) (local, remote []membership.Instance) {
	for _, member := range members {
		if r.distance(member) == sameZone {
			local = append(local, member)
		} else {
			remote = append(remote, member)
		}
	}
	return local, remote
}

func (r *Router) topRanked(members []membership.Instance, count int) []membership.Instance {
	return membership.TopRanked("subset/"+r.Self.Name, members, count)
}

// pickEndpoint returns the candidate that the prefix hashes to if its load is
// below affinityMaxLoad, otherwise the less loaded of two random candidates.
func (r *Router) pickEndpoint(request Request, candidates []membership.Instance, now time.Time) membership.Instance {
	if r.Pick != nil {
		return r.Pick(request, candidates, func(name string) float64 { return r.load(name, now) })
	}
	if request.PrefixKey != "" {
		preferred := candidates[0]
		for _, candidate := range candidates[1:] {
			if membership.Score(request.PrefixKey, candidate.Name) > membership.Score(request.PrefixKey, preferred.Name) {
				preferred = candidate
			}
		}
		if r.load(preferred.Name, now) < affinityMaxLoad {
			return preferred
		}
	}
	first := candidates[rand.IntN(len(candidates))]
	second := candidates[rand.IntN(len(candidates))]
	if r.load(second.Name, now) < r.load(first.Name, now) {
		return second
	}
	return first
}

// load returns the estimated fraction of the endpoint's limit in use: the last
// report, adjusted by the change since then in this entry's own requests in
// flight.
func (r *Router) load(name string, now time.Time) float64 {
	state := r.endpoints[name]
	if state == nil || now.Sub(state.reportedAt) > reportMaxAge || state.lastReport.Limit == 0 {
		if state == nil {
			return 0
		}
		return float64(state.inFlight) / assumedLimit
	}
	estimated := state.lastReport.InFlight + state.inFlight - state.inFlightAtReport
	return float64(estimated) / float64(state.lastReport.Limit)
}

// assumedLimit is the limit assumed for an endpoint without a current load
// report.
const assumedLimit = 8

// Begin records that a request is sent to the endpoint.
func (r *Router) Begin(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateOf(name).inFlight++
}

// End records that a request at the endpoint has ended.
func (r *Router) End(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateOf(name).inFlight--
}

// RecordLoad records a load report from the endpoint's agent.
func (r *Router) RecordLoad(name string, load admission.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.stateOf(name)
	state.lastReport, state.reportedAt, state.inFlightAtReport = load, time.Now(), state.inFlight
}

// Pause excludes the endpoint for the given duration, which its agent requested
// with a refusal. It shortens no earlier pause.
func (r *Router) Pause(name string, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.stateOf(name)
	if until := time.Now().Add(pause); until.After(state.pausedUntil) {
		state.pausedUntil = until
	}
}

// PauseAfterFailure excludes an endpoint that did not respond.
func (r *Router) PauseAfterFailure(name string) { r.Pause(name, failureBackoff) }

// stateOf returns the state of an endpoint, and creates it if there is none.
func (r *Router) stateOf(name string) *endpointState {
	if r.endpoints == nil {
		r.endpoints = map[string]*endpointState{}
	}
	state := r.endpoints[name]
	if state == nil {
		state = &endpointState{}
		r.endpoints[name] = state
	}
	return state
}

// Prune deletes the state of endpoints that are gone or no longer in the instance
// list and have no requests of this entry in flight.
func (r *Router) Prune(view *membership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, state := range r.endpoints {
		if instance, present := view.Instance(name); state.inFlight == 0 && (!present || instance.Status == membership.Gone) {
			delete(r.endpoints, name)
		}
	}
}
