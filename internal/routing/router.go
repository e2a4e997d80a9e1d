// Package routing decides, in an entry, which endpoint is offered a request.
// It does no I/O. The endpoint's own agent has the last word.
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
	// affinityMaxLoad is the load up to which the endpoint that holds a request's
	// prefix is preferred.
	affinityMaxLoad = 0.75
	// spilloverLoad is the load from which a farther endpoint is preferred to a
	// nearer one that is busier.
	spilloverLoad = 0.9
	// reportMaxAge is how long a report about an endpoint counts.
	reportMaxAge = 5 * time.Second
	// failureBackoff is how long an endpoint that gave no answer is left out.
	failureBackoff = 2 * time.Second
)

// Router chooses endpoints for one entry. Set the exported fields before the
// first call; the methods are safe for concurrent use.
type Router struct {
	Self       membership.Instance
	SubsetSize int
	// Pick chooses among the endpoints at one distance; load returns the part of
	// an endpoint's limit in use. Nil means prefix affinity, then the less loaded
	// of two random ones.
	Pick func(request Request, candidates []membership.Instance, load func(name string) float64) membership.Instance

	mu        sync.Mutex
	endpoints map[string]*endpointState
	subsets   map[string]poolSubset
}

// endpointState is what the entry knows about one endpoint.
type endpointState struct {
	// inFlight is the number of this entry's requests at the endpoint.
	inFlight   int
	lastReport admission.Load
	reportedAt time.Time
	// inFlightAtReport is own when the last report arrived.
	inFlightAtReport int
	pausedUntil      time.Time
}

// poolSubset is the part of a pool that the entry uses.
type poolSubset struct {
	version int64
	members []membership.Instance
}

// Request is what the router decides on.
type Request struct {
	Pool string
	// PrefixKey identifies the prompt prefix that an endpoint may have cached;
	// empty means none.
	PrefixKey string
	// Tried are the names of endpoints that refused the request already.
	Tried []string
}

// Choose returns the endpoint to offer the request to. It reports false if no
// endpoint may take it.
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

// Distances from an entry to an endpoint.
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

// eligibleEndpoints returns the members of the subset at a distance that may take work.
func (r *Router) eligibleEndpoints(request Request, view *membership.View, snapshot *desiredstate.Snapshot, now time.Time, distance int) []membership.Instance {
	var eligible []membership.Instance
	for _, member := range r.subset(request.Pool, view) {
		if r.distance(member) != distance || slices.Contains(request.Tried, member.Name) {
			continue
		}
		if !snapshot.ZoneInService(member.AvailabilityZone) || !snapshot.EndpointTakesWork(member.Name) {
			continue
		}
		if state := r.endpoints[member.Name]; state != nil && now.Before(state.pausedUntil) {
			continue
		}
		eligible = append(eligible, member)
	}
	return eligible
}

// subset returns the part of the pool that this entry uses: in each zone the
// same share, so that near endpoints are in it.
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
	return membership.Top("subset/"+r.Self.Name, members, count)
}

// pickEndpoint prefers the endpoint that holds the prefix while it is not busy,
// otherwise the less loaded of two random ones.
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

// load returns the estimated part of the endpoint's limit in use. The last
// report is corrected by this entry's own requests since then.
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

// assumedLimit is the limit of an endpoint that has not reported.
const assumedLimit = 8

// Begin records that a request goes to the endpoint.
func (r *Router) Begin(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateOf(name).inFlight++
}

// End records that a request at the endpoint ended.
func (r *Router) End(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateOf(name).inFlight--
}

// RecordLoad records what the endpoint's agent said about its load.
func (r *Router) RecordLoad(name string, load admission.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.stateOf(name)
	state.lastReport, state.reportedAt, state.inFlightAtReport = load, time.Now(), state.inFlight
}

// Pause leaves the endpoint out for the time that its agent asked for.
func (r *Router) Pause(name string, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stateOf(name).pausedUntil = time.Now().Add(pause)
}

// PauseAfterFailure leaves out an endpoint that gave no answer.
func (r *Router) PauseAfterFailure(name string) { r.Pause(name, failureBackoff) }

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

// Prune drops what is known about endpoints that left the instance list.
func (r *Router) Prune(view *membership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, state := range r.endpoints {
		if instance, present := view.Instance(name); state.inFlight == 0 && (!present || instance.Status == membership.Gone) {
			delete(r.endpoints, name)
		}
	}
}
