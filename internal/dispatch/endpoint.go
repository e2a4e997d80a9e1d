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
	running int
	unread  int
	// others holds what other gateways have there, by their names.
	others map[string]foreignLoad
	// status is what the engine's loader said last, at statusAt.
	status    engine.Status
	answering bool
	statusAt  time.Time
	// sends are the gateway's recent requests there, the newest at the end.
	sends []send
	// health judges the endpoint by the gateway's own requests.
	health health
	// misdirected is the incarnation of an endpoint at whose address another one
	// answered.
	misdirected int64
	// coldUntil is when the cold start of an incarnation ends.
	coldUntil   time.Time
	incarnation int64
}

// foreignLoad is what another gateway has at an endpoint.
type foreignLoad struct {
	running int
	unread  int
	heard   time.Time
	// lentTo names the gateway that may send there besides the owner.
	lentTo string
}

// send is a request that the gateway sent.
type send struct {
	at     time.Time
	tokens int
}

// sendMemory is how long sends are remembered: longer than a digest is usually old,
// and than the second in which those to a cold endpoint are counted.
const sendMemory = 1100 * time.Millisecond

// noteSend remembers a request that the gateway sends.
func (s *endpointState) noteSend(now time.Time, tokens int) {
	old := 0
	for old < len(s.sends) && now.Sub(s.sends[old].at) > sendMemory {
		old++
	}
	s.sends = append(s.sends[:copy(s.sends, s.sends[old:])], send{at: now, tokens: tokens})
}

// sentSince returns the gateway's requests since a time, and their prompt tokens.
func (s *endpointState) sentSince(since time.Time) (requests, tokens int) {
	for index := len(s.sends) - 1; index >= 0 && s.sends[index].at.After(since); index-- {
		requests++
		tokens += s.sends[index].tokens
	}
	return requests, tokens
}

// load returns the requests and unread prompt tokens of all gateways at the endpoint,
// and the age of the oldest digest that counted. Shares holds how much each other
// gateway asks for, as a multiple of the own demand: since its digest it has sent
// about that much of what this one sent.
func (s *endpointState) load(now time.Time, shares map[string]float64) (running, unread int, age time.Duration) {
	running, unread = s.running, s.unread
	for name, share := range shares {
		since := now.Add(-usualDigestAge)
		if foreign, told := s.others[name]; told {
			since = foreign.heard
			running += foreign.running
			unread += foreign.unread
			age = max(age, now.Sub(foreign.heard))
		}
		requests, tokens := s.sentSince(since)
		running += int(share*float64(requests) + 0.5)
		unread += int(share * float64(tokens))
	}
	return running, unread, age
}

// lentBy reports whether the owner lends the endpoint to the gateway.
func (s *endpointState) lentBy(owner, self string, now time.Time) bool {
	told := s.others[owner]
	return told.lentTo == self && now.Sub(told.heard) <= lentMaxAge
}

// usualDigestAge is how old the digest of a gateway is that told of no request at an
// endpoint.
const usualDigestAge = 100 * time.Millisecond

// heard reports whether the loader's word is new enough to count.
func (s *endpointState) heard(now time.Time) bool { return now.Sub(s.statusAt) <= statusMaxAge }

// replaced reports whether another endpoint has taken the place of the one that the
// entry describes: it answered that it is not the one, or its loader tells of a later
// start.
func (s *endpointState) replaced(endpoint *clusterstate.Endpoint, now time.Time) bool {
	if s.misdirected == endpoint.Incarnation && s.misdirected != 0 {
		return true
	}
	return s.heard(now) && s.status.Incarnation > endpoint.Incarnation && endpoint.Incarnation > 0
}

// version returns the version of a model that an endpoint serves now, 0 if none.
func (s *endpointState) version(endpoint *clusterstate.Endpoint, model string, now time.Time) int64 {
	if !s.heard(now) || s.status.Incarnation != endpoint.Incarnation {
		return endpoint.Version(model)
	}
	if s.status.Busy || !s.answering {
		return 0
	}
	return s.status.Version(model)
}

// pace returns by how much slower than usual the endpoint is, 1 if it is not.
func (s *endpointState) pace(endpoint *clusterstate.Endpoint, now time.Time) float64 {
	if s.heard(now) && s.status.Incarnation == endpoint.Incarnation && s.status.Pace > 1 {
		return s.status.Pace
	}
	return 1
}

// noteEntry takes over what the endpoint's entry says of its cold start.
func (s *endpointState) noteEntry(endpoint *clusterstate.Endpoint, now time.Time) {
	if endpoint.Incarnation != s.incarnation {
		s.incarnation = endpoint.Incarnation
		s.coldUntil = time.Time{}
		s.health = health{}
	}
	if endpoint.ColdStartRemaining > 0 && s.coldUntil.IsZero() {
		s.coldUntil = now.Add(endpoint.ColdStartRemaining)
	}
}
