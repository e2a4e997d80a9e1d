package peering

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// deadAfter is how long a gateway may be silent until it is not counted as alive.
	// It is several digests, and well below the time in which the directory must
	// stop to name it.
	deadAfter = 1500 * time.Millisecond
	// forgetAfter is how long a silent gateway is still called.
	forgetAfter = time.Minute
)

// Table holds the other gateways. It is safe for concurrent use. Set the exported
// field before the first call.
type Table struct {
	// Self is the name of the own gateway.
	Self string

	mu    sync.Mutex
	peers map[string]*entry
}

// entry is one other gateway.
type entry struct {
	member Member
	// learned is when the newest incarnation was heard of.
	learned time.Time
	peer    Peer
}

// AddMember adds a gateway that was heard of.
func (t *Table) AddMember(member Member) {
	if member.Name == t.Self || member.Name == "" || member.Control == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string]*entry{}
	}
	held := t.peers[member.Name]
	if held != nil && held.member.Incarnation >= member.Incarnation {
		return
	}
	next := &entry{member: member, learned: time.Now()}
	t.peers[member.Name] = next
}

// RecordDigest records a digest that came from another gateway. A digest of an older
// incarnation is dropped.
func (t *Table) RecordDigest(digest Digest) {
	t.AddMember(digest.Member)
	for _, other := range digest.Others {
		t.AddMember(other)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.peers[digest.Member.Name]
	if held == nil || held.member.Incarnation != digest.Member.Incarnation {
		return
	}
	held.peer = Peer{Digest: digest, ReceivedAt: time.Now()}
}

// Members returns the gateways to call: those that were heard of lately.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var members []Member
	for name, held := range t.peers {
		if now.Sub(held.learned) > forgetAfter && now.Sub(held.peer.ReceivedAt) > forgetAfter {
			delete(t.peers, name)
			continue
		}
		members = append(members, held.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// SinceLastDigest returns for how long nothing was heard of a gateway.
func (t *Table) SinceLastDigest(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.peers[name]
	if held == nil || held.peer.ReceivedAt.IsZero() {
		return forgetAfter
	}
	return time.Since(held.peer.ReceivedAt)
}

// Alive returns the gateways that are alive, ordered by name.
func (t *Table) Alive() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var alive []Peer
	for _, held := range t.peers {
		if !held.peer.ReceivedAt.IsZero() && now.Sub(held.peer.ReceivedAt) <= deadAfter {
			alive = append(alive, held.peer)
		}
	}
	slices.SortFunc(alive, func(a, b Peer) int { return cmp.Compare(a.Digest.Member.Name, b.Digest.Member.Name) })
	return alive
}
