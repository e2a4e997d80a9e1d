package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
)

// opening is an endpoint that may get requests, as it is at one time.
type opening struct {
	endpoint *clusterstate.Endpoint
	state    *endpointState
	// running and unread are those of all gateways, age that of the oldest digest that
	// counted.
	running int
	unread  int
	age     time.Duration
	pace    float64
	// owner is the gateway that owns the endpoint, empty if all share it.
	owner string
	owned bool
	grey  bool
	near  int
	// free is true if the endpoint has a place for one more request of this gateway.
	free bool
}

const (
	// overbook is the number of requests that an engine gets beyond its places, so that
	// a place that becomes free is taken at once.
	overbook = 2
	// strangerReserve is the number of places that only the owner may use, since it may
	// have taken one since its last digest.
	strangerReserve = 1
	// strangerCost is what speaks against an endpoint of another gateway: about what a
	// request that the digests do not tell of yet delays others there.
	strangerCost = 50 * time.Millisecond
)

// survey returns the endpoints of a service that may get requests now. The result is
// valid until the next survey.
func (d *Dispatcher) survey(described *configuration.Service, now time.Time) []opening {
	view := d.View()
	d.openings = d.openings[:0]
	endpoints := view.ServiceEndpoints(described.Name)
	for index := range endpoints {
		if found, usable := d.inspect(view, described, &endpoints[index], now); usable {
			d.openings = append(d.openings, found)
		}
	}
	return d.openings
}

// surveyOne returns one endpoint of a service, if it may get requests now.
func (d *Dispatcher) surveyOne(described *configuration.Service, id string, now time.Time) []opening {
	view := d.View()
	d.openings = d.openings[:0]
	endpoints := view.ServiceEndpoints(described.Name)
	for index := range endpoints {
		if endpoints[index].ID != id {
			continue
		}
		if found, usable := d.inspect(view, described, &endpoints[index], now); usable {
			d.openings = append(d.openings, found)
		}
	}
	return d.openings
}

// inspect returns what is known about an endpoint, and false if it may get no requests.
func (d *Dispatcher) inspect(view *clusterstate.View, described *configuration.Service, endpoint *clusterstate.Endpoint, now time.Time) (opening, bool) {
	if endpoint.Draining || view.Evacuated(endpoint.AvailabilityZone) {
		return opening{}, false
	}
	state := d.state(endpoint.ID)
	state.noteEntry(endpoint, now)
	if state.replaced(endpoint, now) || state.health.paused(now) {
		return opening{}, false
	}
	found := opening{endpoint: endpoint, state: state, grey: state.health.grey(now), near: d.distance(endpoint), pace: state.pace(endpoint, now)}
	if described.Engine != nil {
		found.owner = d.ownershipOf(view, described.Name).owners[endpoint.ID]
		found.owned = found.owner == d.Self.Name
	}
	found.running, found.unread, found.age = state.load(now, d.shares)
	found.free = d.isFree(&found, described, now)
	return found, true
}

// isFree reports whether the endpoint has a place for one more request of this gateway.
func (d *Dispatcher) isFree(of *opening, described *configuration.Service, now time.Time) bool {
	places := of.endpoint.Slots + overbook
	if of.owner != "" && !of.owned {
		if !of.state.lentBy(of.owner, d.Self.Name, now) {
			return false
		}
		places = of.endpoint.Slots - strangerReserve
	}
	return of.running < places && d.coldRoom(described, of.state, now)
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
func (d *Dispatcher) distance(endpoint *clusterstate.Endpoint) int {
	switch {
	case endpoint.AvailabilityZone == d.Self.AvailabilityZone:
		return 0
	case endpoint.Region == d.Self.Region:
		return 1
	default:
		return 2
	}
}

// strangeness is what speaks against the endpoint for belonging to another gateway.
func (o *opening) strangeness() time.Duration {
	if o.owner == "" || o.owned {
		return 0
	}
	return strangerCost
}
