package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/endpointload"
	"github.com/mimosaward/mimosaward/internal/engine"
)

// statusMaxAge is how long a status reported by a loader takes precedence over the
// endpoint's entry in the object store.
const statusMaxAge = 2 * time.Second

// endpointState is the gateway's state for an endpoint, in addition to the endpoint's
// entry in the object store.
type endpointState struct {
	// running is the number of the gateway's requests at the endpoint. pendingPrefill is
	// the number of prompt tokens in those whose response has not started.
	running        int
	pendingPrefill int
	// peerLoads holds the loads that other gateways reported, by the gateway's name.
	peerLoads map[string]peerLoad
	// status is the last status from the engine's loader, received at statusAt.
	// responding is true if the engine responded to that loader.
	status     engine.Status
	responding bool
	statusAt   time.Time
	// recentSends are the gateway's recent requests to the endpoint, the newest last.
	recentSends []sentRequest
	// health tracks the outcomes of the gateway's own requests.
	health health
	// misdirectedIncarnation is the incarnation at whose address another endpoint
	// responded, 0 if there is none. It counts until misdirectedUntil.
	misdirectedIncarnation int64
	misdirectedUntil       time.Time
	// coldUntil is when the endpoint stops being cold, according to its entry of entryRevision.
	coldUntil     time.Time
	entryRevision int64
	incarnation   int64
	// announced is what the endpoint said about itself.
	announced announced
	// turnedAway is the time for which the endpoint wants no requests from this gateway.
	turnedAway turnedAway
	// limit paces the requests to the endpoint while it limits them.
	limit requestLimit
	// load is what the endpoint reported of its load.
	load endpointload.State
	// probes are the calls to the endpoint's health path.
	probes probes
	// tokens is the number of tokens of the gateway's requests at the endpoint.
	tokens int
	// exclusive is what is known about the endpoint while only its owner sends requests to it.
	exclusive exclusiveUse
	// borrowed counts the gateway's jobs that owners of the cell granted by a call.
	borrowed borrowed
}

// peerLoad is the load of another gateway at an endpoint, as its last digest reported it.
type peerLoad struct {
	running        int
	pendingPrefill int
	tokens         int
	receivedAt     time.Time
	// lentTo names the gateway that may use the endpoint in addition to the owner.
	lentTo string
}

// sentRequest is the time and the number of prompt tokens of a request that the gateway
// sent.
type sentRequest struct {
	at     time.Time
	tokens int
}

// sendRetention is how long sent requests are kept. It exceeds the usual age of a digest
// and the one-second window in which requests to a cold endpoint are counted.
const sendRetention = 1100 * time.Millisecond

// recordSend records a request that the gateway sends and drops expired ones.
func (s *endpointState) recordSend(now time.Time, tokens int) {
	expired := 0
	for expired < len(s.recentSends) && now.Sub(s.recentSends[expired].at) > sendRetention {
		expired++
	}
	s.recentSends = append(s.recentSends[:copy(s.recentSends, s.recentSends[expired:])], sentRequest{at: now, tokens: tokens})
}

// sentSince returns the number of requests that the gateway sent after a time, and the
// number of their prompt tokens.
func (s *endpointState) sentSince(since time.Time) (requests, tokens int) {
	for index := len(s.recentSends) - 1; index >= 0 && s.recentSends[index].at.After(since); index-- {
		requests++
		tokens += s.recentSends[index].tokens
	}
	return requests, tokens
}

// totalLoad returns the running requests and pending prefill tokens of all gateways at the
// endpoint, and the age of the oldest digest used. demandRatios holds the demand of each
// other gateway as a multiple of this gateway's demand: since its last digest, a gateway is
// assumed to have sent that multiple of what this one sent.
func (s *endpointState) totalLoad(now time.Time, demandRatios map[string]float64) (running, pendingPrefill int, digestAge time.Duration) {
	if s.exclusive.active {
		return s.exactLoad(now, demandRatios)
	}
	running, pendingPrefill = s.running+s.borrowed.orphaned(demandRatios), s.pendingPrefill
	for name, ratio := range demandRatios {
		since := now.Add(-typicalDigestAge)
		if load, reported := s.peerLoads[name]; reported {
			since = load.receivedAt
			running += load.running
			pendingPrefill += load.pendingPrefill
			digestAge = max(digestAge, now.Sub(load.receivedAt))
		}
		requests, tokens := s.sentSince(since)
		running += int(ratio*float64(requests) + 0.5)
		pendingPrefill += int(ratio * float64(tokens))
	}
	return running, pendingPrefill, digestAge
}

// isLentBy reports whether the owner currently lends the endpoint to the gateway self.
func (s *endpointState) isLentBy(owner, self string, now time.Time) bool {
	load := s.peerLoads[owner]
	return load.lentTo == self && now.Sub(load.receivedAt) <= maxLendAge
}

// typicalDigestAge is the assumed age of the digest of a gateway that reported no load for
// an endpoint.
const typicalDigestAge = 100 * time.Millisecond

// recordStatus records a status from the engine's loader and reports whether it differs
// from the last one.
func (s *endpointState) recordStatus(status engine.Status, responding bool, at time.Time) bool {
	changed := responding != s.responding || !s.status.Equal(status)
	s.status, s.responding, s.statusAt = status, responding, at
	return changed
}

// statusFresh reports whether the loader's status is recent enough to be used.
func (s *endpointState) statusFresh(now time.Time) bool { return now.Sub(s.statusAt) <= statusMaxAge }

// misdirectionMaxAge is how long an endpoint counts as replaced after a response that said so. The
// response may have been wrong, and a request that is sent in vain is not executed.
const misdirectionMaxAge = 5 * time.Second

// replaced reports whether another endpoint has replaced the one that the entry describes:
// a request to its address was misdirected, or its loader reports a later incarnation.
func (s *endpointState) replaced(endpoint *clusterstate.Endpoint, now time.Time) bool {
	if s.misdirectedIncarnation == endpoint.Incarnation && s.misdirectedIncarnation != 0 && now.Before(s.misdirectedUntil) {
		return true
	}
	return s.statusFresh(now) && s.status.Incarnation > endpoint.Incarnation && endpoint.Incarnation > 0
}

// version returns the version of a model that the endpoint serves now, 0 if none.
func (s *endpointState) version(endpoint *clusterstate.Endpoint, model string, now time.Time) int64 {
	if !s.statusFresh(now) || s.status.Incarnation != endpoint.Incarnation {
		return endpoint.Version(model)
	}
	if s.status.Busy || !s.responding {
		return 0
	}
	return s.status.Version(model)
}

// pace returns the factor by which the endpoint is slower than usual, 1 if it is not.
func (s *endpointState) pace(endpoint *clusterstate.Endpoint, now time.Time) float64 {
	if s.statusFresh(now) && s.status.Incarnation == endpoint.Incarnation && s.status.Pace > 1 {
		return s.status.Pace
	}
	return 1
}

// recordEntry records how long the endpoint is cold each time its entry in the object store
// changes, since an endpoint may become cold again at any moment. It resets the health and the
// reported load on a new incarnation.
func (s *endpointState) recordEntry(endpoint *clusterstate.Endpoint, now time.Time) {
	sameStart := endpoint.Incarnation == s.incarnation
	if !sameStart {
		if s.incarnation != 0 {
			s.load, s.probes = endpointload.State{}, probes{}
		}
		s.incarnation = endpoint.Incarnation
		s.health = health{}
	}
	if !sameStart || endpoint.Revision != s.entryRevision {
		s.entryRevision = endpoint.Revision
		s.coldUntil = now.Add(endpoint.ColdStartRemaining)
	}
}
