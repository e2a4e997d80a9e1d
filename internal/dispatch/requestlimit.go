package dispatch

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// maxProbeInterval is the longest interval between requests to a limited endpoint, so
	// that the end of a very low limit is noticed.
	maxProbeInterval = 10 * time.Second
	// holderDelay is how long a new holder of an endpoint's limit waits, because the previous
	// one may still send requests: about the time in which digests and reports spread.
	holderDelay = time.Second
	// burstTime is the time whose requests may be sent at once after a pause.
	burstTime = 100 * time.Millisecond
	// holderKey is the key prefix of the rendezvous order of holders.
	holderKey = "requestLimit/"
)

// requestLimit paces the requests to an endpoint that limits them. All gateways together must
// keep the limit, so at any time one gateway holds it: only the holder sends requests or grants
// them to others. Each request costs a token.
type requestLimit struct {
	// held is true while this gateway is the holder.
	held      bool
	tokens    float64
	updatedAt time.Time
}

// setHeld sets whether this gateway is the holder. A new holder has no tokens at first.
func (l *requestLimit) setHeld(held bool, rate float64, now time.Time) {
	if held && !l.held {
		l.tokens, l.updatedAt = -paceOf(rate)*holderDelay.Seconds(), now
	}
	l.held = held
}

// refill adds the tokens since the last call.
func (l *requestLimit) refill(rate float64, now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.tokens = min(1+paceOf(rate)*burstTime.Seconds(), l.tokens+paceOf(rate)*elapsed.Seconds())
		l.updatedAt = now
	}
}

// untilToken returns the time until a request may be sent, 0 if one may be sent now. The
// tokens must be up to date.
func (l *requestLimit) untilToken(rate float64) time.Duration {
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - l.tokens) / paceOf(rate) * float64(time.Second))
}

// paceOf returns the requests a second that are sent under a limit.
func paceOf(rate float64) float64 { return max(rate, 1/maxProbeInterval.Seconds()) }

// limitOf returns the announced limit of an endpoint, and false if it has none.
func (s *endpointState) limitOf(endpoint *clusterstate.Endpoint, now time.Time) (rate float64, limited bool) {
	current := s.announced
	if !current.Limited || current.incarnation != endpoint.Incarnation || (!s.limit.held && current.outdated(now)) {
		return 0, false
	}
	return current.RequestRate, true
}

// updateLimit brings the limit of an endpoint up to date and reports whether it has one, when
// this gateway may send the next request if it holds the limit, and who holds it.
func (d *Dispatcher) updateLimit(endpoint *clusterstate.Endpoint, state *endpointState, owners *ownership, now time.Time) (limited bool, wait time.Duration, holder string) {
	rate, limited := state.limitOf(endpoint, now)
	if !limited {
		state.limit.setHeld(false, 0, now)
		return false, 0, ""
	}
	holder = d.limitHolder(endpoint, owners)
	state.limit.setHeld(holder == d.Self.Name, rate, now)
	state.limit.refill(rate, now)
	return true, state.limit.untilToken(rate), holder
}

// limitHolder returns the name of the gateway that holds the limit of an endpoint: its owner,
// or one of the gateways that share the endpoint. It is empty if no gateway takes requests.
// Gateways that are about to stop hold no limit.
func (d *Dispatcher) limitHolder(endpoint *clusterstate.Endpoint, owners *ownership) string {
	if owners != nil {
		if owner := owners.owners[endpoint.ID]; owner != "" {
			if owner == d.Self.Name && d.stopping() {
				return ""
			}
			return owner
		}
	}
	var best string
	var bestScore uint64
	consider := func(name string) {
		if score := membership.Score(holderKey+endpoint.ID, name); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	if !d.stopping() {
		consider(d.Self.Name)
	}
	if owners != nil {
		for _, gateway := range d.gateways {
			if gateway.Name != d.Self.Name {
				consider(gateway.Name)
			}
		}
		return best
	}
	for _, gateway := range d.otherGateways() {
		consider(gateway)
	}
	return best
}

// otherGateways returns the names of the other gateways of all cells that take requests.
func (d *Dispatcher) otherGateways() []string {
	if now := time.Now(); d.FleetGateways != nil && now.Sub(d.fleetCheckedAt) >= cellCheckInterval {
		d.fleetGateways, d.fleetCheckedAt = d.FleetGateways(), now
	}
	return d.fleetGateways
}

func (d *Dispatcher) stopping() bool { return d.Stopping != nil && d.Stopping() }

// LimitHolders returns the other gateways that hold the limits of endpoints that may take the
// job, in random order. It returns none if no endpoint of the service has a limit.
func (d *Dispatcher) LimitHolders(job *Job) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if !d.limitsKnown(now) {
		return nil
	}
	config, exists := d.Service(job.Service)
	if !exists {
		return nil
	}
	minVersion := d.minVersion(job)
	var holders []string
	snapshots := d.snapshotEndpoints(config, now)
	for index := range snapshots {
		snapshot := &snapshots[index]
		held := snapshot.limitHolder == "" || snapshot.limitHolder == d.Self.Name
		if !held && !slices.Contains(holders, snapshot.limitHolder) && eligible(job, snapshot, minVersion, now) {
			holders = append(holders, snapshot.limitHolder)
		}
	}
	rand.Shuffle(len(holders), func(a, b int) { holders[a], holders[b] = holders[b], holders[a] })
	return holders
}
