package swarm

import "github.com/mimosaward/mimosaward/internal/roster"

// SourceKind says what a source is.
type SourceKind int

// The kinds of sources.
const (
	// Peer is an instance of the same region.
	Peer SourceKind = iota
	// FarPeer is an instance of another region, behind a thin link.
	FarPeer
	// Origin is the origin of the weights.
	Origin
)

// Source is one place to get a chunk from.
type Source struct {
	Kind SourceKind
	Peer roster.Instance
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
		return l.upstream(chunk)
	}
	parentRank := position*l.own.stripes + stripe
	sources := []Source{{Kind: Peer, Peer: l.own.ranked[parentRank]}}
	if position > 0 {
		sources = l.appendAdopters(sources, stripe, parentRank)
	}
	sources = l.appendPredecessors(sources, stripe)
	return append(l.withoutSelf(sources), l.upstream(chunk)...)
}

// appendAdopters adds the nodes that have capacity to spare when a parent is
// gone: that parent's own parents in every stripe, in an order that differs
// between siblings.
func (l *Layout) appendAdopters(sources []Source, stripe, parentRank int) []Source {
	turn := l.own.slot(stripe, l.index)
	for offset := range l.own.stripes {
		other := (stripe + 1 + turn + offset) % l.own.stripes
		if above, ok := l.own.parent(other, parentRank); ok {
			sources = appendNew(sources, Source{Kind: Peer, Peer: l.own.node(other, above)})
		}
	}
	return sources
}

// maxPredecessors bounds the instances that must be gone before an instance
// takes over as the root of a stripe.
const maxPredecessors = 8

// appendPredecessors adds the instances that come before self in the
// succession of the stripe's root: its inner nodes in order, then the others.
// The first of them that is not gone is the root.
func (l *Layout) appendPredecessors(sources []Source, stripe int) []Source {
	own := l.own
	for position := range min(maxPredecessors, own.inner(stripe)) {
		rank := position*own.stripes + stripe
		if rank == l.index {
			return sources
		}
		sources = appendNew(sources, Source{Kind: Peer, Peer: own.ranked[rank]})
	}
	for rank := range min(maxPredecessors, len(own.ranked)) {
		if rank == l.index {
			return sources
		}
		sources = appendNew(sources, Source{Kind: Peer, Peer: own.ranked[rank]})
	}
	return sources
}

// upstream returns where a stripe's root gets a chunk. In the home region that
// is the origin. Any other region gets its share of the chunks from the home
// region and the rest from the region that got them first, so that every thin
// link carries a part of the weights, and each chunk at most once.
func (l *Layout) upstream(chunk int) []Source {
	if l.self.Region == l.home || l.homeRegion() == nil {
		return []Source{{Kind: Origin}}
	}
	var sources []Source
	first := l.first(chunk)
	if first != l.own {
		sources = l.appendFar(sources, first, chunk)
	}
	sources = l.appendFar(sources, l.homeRegion(), chunk)
	for _, other := range l.regions {
		if other != l.own && other != first && other.name != l.home {
			sources = l.appendFar(sources, other, chunk)
		}
	}
	return append(sources, Source{Kind: Origin})
}

// farSources is the number of instances of another region to try.
const farSources = 3

// appendFar adds inner nodes of the chunk's stripe in another region, the last
// one first: it has the fewest children.
func (l *Layout) appendFar(sources []Source, other *region, chunk int) []Source {
	stripe := other.stripe(chunk)
	inner := other.inner(stripe)
	for offset := range min(farSources, inner) {
		sources = appendNew(sources, Source{Kind: FarPeer, Peer: other.node(stripe, inner-1-offset)})
	}
	return sources
}

func (l *Layout) homeRegion() *region {
	for _, r := range l.regions {
		if r.name == l.home {
			return r
		}
	}
	return nil
}

// first returns the region that gets a chunk directly from the home region.
func (l *Layout) first(chunk int) *region {
	var others []*region
	for _, r := range l.regions {
		if r.name != l.home {
			others = append(others, r)
		}
	}
	// Whole rounds of the home region's stripes go to one region after the
	// other, so that every instance of a region gets its part of them.
	return others[chunk/len(l.homeRegion().ranked)%len(others)]
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
	for _, source := range sources {
		if source.Kind == added.Kind && source.Peer.Name == added.Peer.Name {
			return sources
		}
	}
	return append(sources, added)
}
