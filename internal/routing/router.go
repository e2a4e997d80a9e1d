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
	// affinityLoad is the load up to which the endpoint that holds a request's
	// prefix is preferred.
	affinityLoad = 0.75
	// spillLoad is the load from which a farther endpoint is preferred to a
	// nearer one that is busier.
	spillLoad = 0.9
	// reportMaxAge is how long a report about an endpoint counts.
	reportMaxAge = 5 * time.Second
	// failurePause is how long an endpoint that gave no answer is left out.
	failurePause = 2 * time.Second
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
	endpoints map[string]*endpoint
	subsets   map[string]subset
}

// endpoint is what the entry knows about one endpoint.
type endpoint struct {
	// own is the number of this entry's requests at the endpoint.
	own        int
	report     admission.Load
	reportedAt time.Time
	// ownAtReport is own when the last report arrived.
	ownAtReport int
	pausedUntil time.Time
}

// subset is the part of a pool that the entry uses.
type subset struct {
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
		candidates := r.eligible(request, view, snapshot, now, distance)
		if len(candidates) == 0 {
			continue
		}
		chosen := r.pick(request, candidates, now)
		if !found || r.load(chosen.Name, now) < spillLoad {
			best, found = chosen, true
		}
		if r.load(best.Name, now) < spillLoad {
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

// eligible returns the members of the subset at a distance that may take work.
func (r *Router) eligible(request Request, view *membership.View, snapshot *desiredstate.Snapshot, now time.Time, distance int) []membership.Instance {
	var found []membership.Instance
	for _, member := range r.subset(request.Pool, view) {
		if r.distance(member) != distance || slices.Contains(request.Tried, member.Name) {
			continue
		}
		if !snapshot.ZoneInService(member.AvailabilityZone) || !snapshot.EndpointTakesWork(member.Name) {
			continue
		}
		if held := r.endpoints[member.Name]; held != nil && now.Before(held.pausedUntil) {
			continue
		}
		found = append(found, member)
	}
	return found
}

// subset returns the part of the pool that this entry uses: in each zone the
// same share, so that near endpoints are in it.
func (r *Router) subset(pool string, view *membership.View) []membership.Instance {
	held, ok := r.subsets[pool]
	if ok && held.version == view.Version() {
		return held.members
	}
	members := view.Pool(pool)
	if len(members) > r.SubsetSize {
		near, far := r.split(members)
		nearCount := max(r.SubsetSize/2, r.SubsetSize-len(far))
		members = append(r.take(near, nearCount), r.take(far, r.SubsetSize-min(nearCount, len(near)))...)
	}
	if r.subsets == nil {
		r.subsets = map[string]subset{}
	}
	r.subsets[pool] = subset{version: view.Version(), members: members}
	return members
}

func (r *Router) split(members []membership.Instance) (near, far []membership.Instance) {
	for _, member := range members {
		if r.distance(member) == sameZone {
			near = append(near, member)
		} else {
			far = append(far, member)
		}
	}
	return near, far
}

func (r *Router) take(members []membership.Instance, count int) []membership.Instance {
	return membership.Top("subset/"+r.Self.Name, members, count)
}

// pick prefers the endpoint that holds the prefix while it is not busy,
// otherwise the less loaded of two random ones.
func (r *Router) pick(request Request, candidates []membership.Instance, now time.Time) membership.Instance {
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
		if r.load(preferred.Name, now) < affinityLoad {
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
	held := r.endpoints[name]
	if held == nil || now.Sub(held.reportedAt) > reportMaxAge || held.report.Limit == 0 {
		if held == nil {
			return 0
		}
		return float64(held.own) / assumedLimit
	}
	inFlight := held.report.InFlight + held.own - held.ownAtReport
	return float64(inFlight) / float64(held.report.Limit)
}

// assumedLimit is the limit of an endpoint that has not reported.
const assumedLimit = 8

// Begin records that a request goes to the endpoint.
func (r *Router) Begin(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).own++
}

// End records that a request at the endpoint ended.
func (r *Router) End(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).own--
}

// RecordLoad records what the endpoint's agent said about its load.
func (r *Router) RecordLoad(name string, load admission.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.get(name)
	held.report, held.reportedAt, held.ownAtReport = load, time.Now(), held.own
}

// Pause leaves the endpoint out for the time that its agent asked for.
func (r *Router) Pause(name string, pause time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.get(name).pausedUntil = time.Now().Add(pause)
}

// PauseAfterFailure leaves out an endpoint that gave no answer.
func (r *Router) PauseAfterFailure(name string) { r.Pause(name, failurePause) }

func (r *Router) get(name string) *endpoint {
	if r.endpoints == nil {
		r.endpoints = map[string]*endpoint{}
	}
	held := r.endpoints[name]
	if held == nil {
		held = &endpoint{}
		r.endpoints[name] = held
	}
	return held
}

// Prune drops what is known about endpoints that left the instance list.
func (r *Router) Prune(view *membership.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, held := range r.endpoints {
		if instance, listed := view.Instance(name); held.own == 0 && (!listed || instance.Status == membership.Gone) {
			delete(r.endpoints, name)
		}
	}
}
