package topology

import (
	"slices"

	"github.com/mimosaward/mimosaward/internal/membership"
)

// SourceKind says what a source is.
type SourceKind int

// The kinds of sources.
const (
	// Peer is an instance of the same region.
	Peer SourceKind = iota
	// RemotePeer is an instance of another region, behind a thin link.
	RemotePeer
	// Origin is the origin of the weights.
	Origin
)

// Source is one place to get a chunk from.
type Source struct {
	Kind SourceKind
	Peer membership.Instance
	// RootRank is the place of a peer of the same region in the succession
	// of the root for the chunk, 0 for the root itself, or NotInSuccession.
	RootRank int
}

// NotRootCandidate is the succession of a source that is never the root.
const NotRootCandidate = -1

// OriginSource returns the origin as a source.
func OriginSource() Source { return Source{Kind: Origin, RootRank: NotRootCandidate} }

// PeerSource returns an instance as a source, near or far.
func (l *Layout) PeerSource(instance membership.Instance) Source {
	if instance.Region == l.self.Region {
		return peer(instance)
	}
	return farPeer(instance)
}

func peer(instance membership.Instance) Source {
	return Source{Kind: Peer, Peer: instance, RootRank: NotRootCandidate}
}

func farPeer(instance membership.Instance) Source {
	return Source{Kind: RemotePeer, Peer: instance, RootRank: NotRootCandidate}
}

// Name identifies the source in logs and for exclusion.
func (s Source) Name() string {
	if s.Kind == Origin {
		return "origin"
	}
	return s.Peer.Name
}

// Sources returns where self gets a chunk, the preferred source first. A later
// source is for when the earlier ones are excluded or cannot deliver. A source
// of a farther kind is for when every source of a nearer kind is excluded.
func (l *Layout) Sources(chunk int) []Source {
	stripe := l.own.stripe(chunk)
	position, hasParent := l.own.parent(stripe, l.index)
	if !hasParent {
		return l.appendUpstream(make([]Source, 0, maxSources), chunk)
	}
	parentRank := position*l.own.stripes + stripe
	sources := make([]Source, 0, maxSources)
	sources = append(sources, peer(l.own.ranked[parentRank]))
	if position > 0 {
		sources = l.appendAdopters(sources, chunk, parentRank)
	}
	sources = l.appendSuccession(sources, chunk)
	return l.appendUpstream(l.withoutSelf(sources), chunk)
}

// maxSources is the usual number of sources of a chunk.
const maxSources = 40

// RootSources returns where self gets a chunk after another instance asked it
// to take over as the root of the chunk's stripe: from the instances before
// self in the succession if any is left, otherwise from outside the region.
func (l *Layout) RootSources(chunk int) []Source {
	return l.appendUpstream(l.withoutSelf(l.appendSuccession(nil, chunk)), chunk)
}

// appendAdopters adds the nodes that have capacity to spare when a parent is
// gone: that parent's own parents in every stripe, in an order that differs
// between siblings and chunks. Those that are children of the same parent in
// the chunk's stripe wait for the same chunk, so they come last, after the
// stripe's other inner nodes.
func (l *Layout) appendAdopters(sources []Source, chunk, parentRank int) []Source {
	own := l.own
	stripe := own.stripe(chunk)
	turn := own.slot(stripe, l.index) + chunk/len(own.ranked)
	var siblings []Source
	for offset := range own.stripes {
		other := (stripe + 1 + turn + offset) % own.stripes
		above, ok := own.parent(other, parentRank)
		if !ok {
			continue
		}
		rank := above*own.stripes + other
		if position, hasParent := own.parent(stripe, rank); hasParent && position*own.stripes+stripe == parentRank {
			siblings = append(siblings, peer(own.ranked[rank]))
			continue
		}
		sources = appendNew(sources, peer(own.ranked[rank]))
	}
	inner := own.inner(stripe)
	for offset := range min(maxOtherInner, inner) {
		sources = appendNew(sources, peer(own.node(stripe, (turn+offset)%inner)))
	}
	for _, sibling := range siblings {
		sources = appendNew(sources, sibling)
	}
	return sources
}

// maxOtherInner bounds the inner nodes of a stripe that an orphan turns to.
const maxOtherInner = 4

// appendSuccession adds the instances that may be the root for a chunk, up to
// self. The first of them that is not gone is the root.
func (l *Layout) appendSuccession(sources []Source, chunk int) []Source {
	for place, rank := range l.own.succession(chunk) {
		if rank == l.index {
			break
		}
		sources = appendNew(sources, Source{Kind: Peer, Peer: l.own.ranked[rank], RootRank: place})
	}
	return sources
}

// maxSuccession bounds the instances of a region that are asked to be the root
// for a chunk.
const maxSuccession = 4

// succession returns the ranks that are the root for a chunk, one after the
// other: the stripe's root, then instances that differ from chunk to chunk, so
// that a lost root's work is spread over the region.
func (r *region) succession(chunk int) []int {
	ranks := append(make([]int, 0, maxSuccession), r.stripe(chunk))
	next := chunk%len(r.ranked) + chunk/len(r.ranked)
	for len(ranks) < min(maxSuccession, len(r.ranked)) {
		next = (next + 1) % len(r.ranked)
		if !slices.Contains(ranks, next) {
			ranks = append(ranks, next)
		}
	}
	return ranks
}

// appendUpstream adds where a stripe's root gets a chunk. In the home region
// that is the origin. Any other region gets its share of the chunks from the
// home region and the rest from the region that got them first, so that every
// thin link carries a part of the weights, and each chunk at most once.
func (l *Layout) appendUpstream(sources []Source, chunk int) []Source {
	if l.self.Region == l.home || l.homeRegion == nil {
		return append(sources, OriginSource())
	}
	first := l.first(chunk)
	if first != l.own {
		sources = l.appendFar(sources, first, chunk)
	}
	sources = l.appendFar(sources, l.homeRegion, chunk)
	for _, other := range l.abroad {
		if other != l.own && other != first {
			sources = l.appendFar(sources, other, chunk)
		}
	}
	return append(sources, OriginSource())
}

// appendFar adds the instances of another region that may be the root for the
// chunk, since they have it first, then the last inner node of its stripe, which
// has the fewest children.
func (l *Layout) appendFar(sources []Source, other *region, chunk int) []Source {
	for _, rank := range other.succession(chunk) {
		sources = appendNew(sources, farPeer(other.ranked[rank]))
	}
	stripe := other.stripe(chunk)
	return appendNew(sources, farPeer(other.node(stripe, other.inner(stripe)-1)))
}

// first returns the region that gets a chunk directly from the home region.
// Whole rounds of the home region's stripes go to one region after the other,
// so that every instance of a region gets its part of them.
func (l *Layout) first(chunk int) *region {
	return l.abroad[chunk/len(l.homeRegion.ranked)%len(l.abroad)]
}

func (l *Layout) withoutSelf(sources []Source) []Source {
	kept := sources[:0]
	for _, source := range sources {
		if source.Kind == Origin || source.Peer.Name != l.self.Name {
			kept = append(kept, source)
		}
	}
	return kept
}

func appendNew(sources []Source, added Source) []Source {
	for index := range sources {
		if sources[index].Kind == added.Kind && sources[index].Peer.Name == added.Peer.Name {
			sources[index].RootRank = max(sources[index].RootRank, added.RootRank)
			return sources
		}
	}
	return append(sources, added)
}
