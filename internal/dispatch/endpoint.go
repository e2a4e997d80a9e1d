package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/engine"
)

// statusMaxAge is how long a loader's word goes before the endpoint's own entry in
// the store.
const statusMaxAge = 2 * time.Second

// endpointState is what the gateway knows about an endpoint, besides its entry in the
// store.
type endpointState struct {
	// running is the number of the gateway's requests there, unread that of their
	// prompt tokens that were not answered yet.
	running        int
	pendingPrefill int
	// peerLoads holds what other gateways have there, by their names.
	peerLoads map[string]peerLoad
	// status is what the engine's loader said last, at statusAt.
	status    engine.Status
	answering bool
	statusAt  time.Time
	// recentSends are the gateway's recent requests there, the newest at the end.
	recentSends []sentRequest
	// health judges the endpoint by the gateway's own requests.
	health health
	// misdirectedIncarnation is the incarnation of an endpoint at whose address another one
	// answered.
	misdirectedIncarnation int64
	// coldUntil is when the cold start of an incarnation ends.
	coldUntil   time.Time
	incarnation int64
}

// peerLoad is what another gateway has at an endpoint.
type peerLoad struct {
	running        int
	pendingPrefill int
	receivedAt     time.Time
	// lentTo names the gateway that may send there besides the owner.
	lentTo string
}

// sentRequest is a request that the gateway sent.
type sentRequest struct {
	at     time.Time
	tokens int
}

// sendRetention is how long sends are remembered: longer than a digest is usually old,
// and than the second in which those to a cold endpoint are counted.
const sendRetention = 1100 * time.Millisecond

// recordSend remembers a request that the gateway sends.
func (s *endpointState) recordSend(now time.Time, tokens int) {
	expired := 0
	for expired < len(s.recentSends) && now.Sub(s.recentSends[expired].at) > sendRetention {
		expired++
	}
	s.recentSends = append(s.recentSends[:copy(s.recentSends, s.recentSends[expired:])], sentRequest{at: now, tokens: tokens})
}

// sentSince returns the gateway's requests since a time, and their prompt tokens.
func (s *endpointState) sentSince(since time.Time) (requests, tokens int) {
	for index := len(s.recentSends) - 1; index >= 0 && s.recentSends[index].at.After(since); index-- {
		requests++
		tokens += s.recentSends[index].tokens
	}
	return requests, tokens
}

// totalLoad returns the requests and unread prompt tokens of all gateways at the endpoint,
// and the age of the oldest digest that counted. Shares holds how much each other
// gateway asks for, as a multiple of the own demand: since its digest it has sent
// about that much of what this one sent.
func (s *endpointState) totalLoad(now time.Time, demandRatios map[string]float64) (running, pendingPrefill int, digestAge time.Duration) {
	running, pendingPrefill = s.running, s.pendingPrefill
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

// isLentBy reports whether the owner lends the endpoint to the gateway.
func (s *endpointState) isLentBy(owner, self string, now time.Time) bool {
	load := s.peerLoads[owner]
	return load.lentTo == self && now.Sub(load.receivedAt) <= maxLendAge
}

// typicalDigestAge is how old the digest of a gateway is that told of no request at an
// endpoint.
const typicalDigestAge = 100 * time.Millisecond

// statusFresh reports whether the loader's word is new enough to count.
func (s *endpointState) statusFresh(now time.Time) bool { return now.Sub(s.statusAt) <= statusMaxAge }

// replaced reports whether another endpoint has taken the place of the one that the
// entry describes: it answered that it is not the one, or its loader tells of a later
// start.
func (s *endpointState) replaced(endpoint *clusterstate.Endpoint, now time.Time) bool {
	if s.misdirectedIncarnation == endpoint.Incarnation && s.misdirectedIncarnation != 0 {
		return true
	}
	return s.statusFresh(now) && s.status.Incarnation > endpoint.Incarnation && endpoint.Incarnation > 0
}

// version returns the version of a model that an endpoint serves now, 0 if none.
func (s *endpointState) version(endpoint *clusterstate.Endpoint, model string, now time.Time) int64 {
	if !s.statusFresh(now) || s.status.Incarnation != endpoint.Incarnation {
		return endpoint.Version(model)
	}
	if s.status.Busy || !s.answering {
		return 0
	}
	return s.status.Version(model)
}

// pace returns by how much slower than usual the endpoint is, 1 if it is not.
func (s *endpointState) pace(endpoint *clusterstate.Endpoint, now time.Time) float64 {
	if s.statusFresh(now) && s.status.Incarnation == endpoint.Incarnation && s.status.Pace > 1 {
		return s.status.Pace
	}
	return 1
}

// recordEntry takes over what the endpoint's entry says of its cold start.
func (s *endpointState) recordEntry(endpoint *clusterstate.Endpoint, now time.Time) {
	if endpoint.Incarnation != s.incarnation {
		s.incarnation = endpoint.Incarnation
		s.coldUntil = time.Time{}
		s.health = health{}
	}
	if endpoint.ColdStartRemaining > 0 && s.coldUntil.IsZero() {
		s.coldUntil = now.Add(endpoint.ColdStartRemaining)
	}
}
