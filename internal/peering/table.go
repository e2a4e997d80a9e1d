package peering

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// aliveTimeout is the time without a digest after which a gateway is no longer
	// considered alive. It spans several digest intervals and is well below the time
	// within which the directory must stop listing the gateway.
	aliveTimeout = 1500 * time.Millisecond
	// memberTTL is the time without a digest after which a gateway is removed and no
	// longer called.
	memberTTL = time.Minute
)

// Table holds the state of the other gateways. It is safe for concurrent use. Set the
// exported field before the first call.
type Table struct {
	// Self is the name of the local gateway.
	Self string

	mu    sync.Mutex
	peers map[string]*tableEntry
}

// tableEntry is the state of one other gateway.
type tableEntry struct {
	member Member
	// incarnationSeenAt is when the newest incarnation was added.
	incarnationSeenAt time.Time
	peer              Peer
}

// AddMember adds a gateway, or replaces it if member has a newer incarnation.
func (t *Table) AddMember(member Member) {
	if member.Name == t.Self || member.Name == "" || member.Control == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.peers == nil {
		t.peers = map[string]*tableEntry{}
	}
	existing := t.peers[member.Name]
	if existing != nil && existing.member.Incarnation >= member.Incarnation {
		return
	}
	entry := &tableEntry{member: member, incarnationSeenAt: time.Now()}
	t.peers[member.Name] = entry
}

// RecordDigest records a digest received from another gateway and adds the gateways
// that it lists. A digest of an older incarnation is discarded.
func (t *Table) RecordDigest(digest Digest) {
	t.AddMember(digest.Member)
	for _, other := range digest.Others {
		t.AddMember(other)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.peers[digest.Member.Name]
	if entry == nil || entry.member.Incarnation != digest.Member.Incarnation {
		return
	}
	entry.peer = Peer{Digest: digest, ReceivedAt: time.Now()}
}

// Members returns the gateways to call, ordered by name. It removes those that were
// neither added nor sent a digest within memberTTL.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var members []Member
	for name, entry := range t.peers {
		if now.Sub(entry.incarnationSeenAt) > memberTTL && now.Sub(entry.peer.ReceivedAt) > memberTTL {
			delete(t.peers, name)
			continue
		}
		members = append(members, entry.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// SinceLastDigest returns the time since the last digest of a gateway, or memberTTL if
// there is none.
func (t *Table) SinceLastDigest(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry := t.peers[name]
	if entry == nil || entry.peer.ReceivedAt.IsZero() {
		return memberTTL
	}
	return time.Since(entry.peer.ReceivedAt)
}

// Alive returns the gateways that sent a digest within aliveTimeout, ordered by name.
func (t *Table) Alive() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var alive []Peer
	for _, entry := range t.peers {
		if !entry.peer.ReceivedAt.IsZero() && now.Sub(entry.peer.ReceivedAt) <= aliveTimeout {
			alive = append(alive, entry.peer)
		}
	}
	slices.SortFunc(alive, func(a, b Peer) int { return cmp.Compare(a.Digest.Member.Name, b.Digest.Member.Name) })
	return alive
}
