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
	return remotePeer(instance)
}

func peer(instance membership.Instance) Source {
	return Source{Kind: Peer, Peer: instance, RootRank: NotRootCandidate}
}

func remotePeer(instance membership.Instance) Source {
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
	stripe := l.ownRegion.stripe(chunk)
	position, hasParent := l.ownRegion.parent(stripe, l.selfRank)
	if !hasParent {
		return l.appendUpstream(make([]Source, 0, sourcesCapacity), chunk)
	}
	parentRank := position*l.ownRegion.stripes + stripe
	sources := make([]Source, 0, sourcesCapacity)
	sources = append(sources, peer(l.ownRegion.instances[parentRank]))
	if position > 0 {
		sources = l.appendFallbackParents(sources, chunk, parentRank)
	}
	sources = l.appendRootCandidates(sources, chunk)
	return l.appendUpstream(l.withoutSelf(sources), chunk)
}

// sourcesCapacity is the usual number of sources of a chunk.
const sourcesCapacity = 40

// RootSources returns where self gets a chunk after another instance asked it
// to take over as the root of the chunk's stripe: from the instances before
// self in the succession if any is left, otherwise from outside the region.
func (l *Layout) RootSources(chunk int) []Source {
	return l.appendUpstream(l.withoutSelf(l.appendRootCandidates(nil, chunk)), chunk)
}

// appendFallbackParents adds the nodes that have capacity to spare when a parent is
// gone: that parent's own parents in every stripe, in an order that differs
// between siblings and chunks. Those that are children of the same parent in
// the chunk's stripe wait for the same chunk, so they come last, after the
// stripe's other inner nodes.
func (l *Layout) appendFallbackParents(sources []Source, chunk, parentRank int) []Source {
	own := l.ownRegion
	stripe := own.stripe(chunk)
	rotation := own.childSlot(stripe, l.selfRank) + chunk/len(own.instances)
	var siblings []Source
	for offset := range own.stripes {
		otherStripe := (stripe + 1 + rotation + offset) % own.stripes
		parentPosition, ok := own.parent(otherStripe, parentRank)
		if !ok {
			continue
		}
		rank := parentPosition*own.stripes + otherStripe
		if position, hasParent := own.parent(stripe, rank); hasParent && position*own.stripes+stripe == parentRank {
			siblings = append(siblings, peer(own.instances[rank]))
			continue
		}
		sources = appendUnique(sources, peer(own.instances[rank]))
	}
	innerCount := own.innerCount(stripe)
	for offset := range min(maxFallbackInnerNodes, innerCount) {
		sources = appendUnique(sources, peer(own.innerNode(stripe, (rotation+offset)%innerCount)))
	}
	for _, sibling := range siblings {
		sources = appendUnique(sources, sibling)
	}
	return sources
}

// maxFallbackInnerNodes bounds the inner nodes of a stripe that an orphan turns to.
const maxFallbackInnerNodes = 4

// appendRootCandidates adds the instances that may be the root for a chunk, up to
// self. The first of them that is not gone is the root.
func (l *Layout) appendRootCandidates(sources []Source, chunk int) []Source {
	for rootRank, rank := range l.ownRegion.rootCandidates(chunk) {
		if rank == l.selfRank {
			break
		}
		sources = appendUnique(sources, Source{Kind: Peer, Peer: l.ownRegion.instances[rank], RootRank: rootRank})
	}
	return sources
}

// maxRootCandidates bounds the instances of a region that are asked to be the root
// for a chunk.
const maxRootCandidates = 4

// rootCandidates returns the ranks that are the root for a chunk, one after the
// other: the stripe's root, then instances that differ from chunk to chunk, so
// that a lost root's work is spread over the region.
func (r *region) rootCandidates(chunk int) []int {
	ranks := append(make([]int, 0, maxRootCandidates), r.stripe(chunk))
	next := chunk%len(r.instances) + chunk/len(r.instances)
	for len(ranks) < min(maxRootCandidates, len(r.instances)) {
		next = (next + 1) % len(r.instances)
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
	if l.self.Region == l.homeName || l.homeRegion == nil {
		return append(sources, OriginSource())
	}
	primary := l.primaryRegion(chunk)
	if primary != l.ownRegion {
		sources = l.appendRemotePeers(sources, primary, chunk)
	}
	sources = l.appendRemotePeers(sources, l.homeRegion, chunk)
	for _, other := range l.remoteRegions {
		if other != l.ownRegion && other != primary {
			sources = l.appendRemotePeers(sources, other, chunk)
		}
	}
	return append(sources, OriginSource())
}

// appendRemotePeers adds the instances of another region that may be the root for the
// chunk, since they have it first, then the last inner node of its stripe, which
// has the fewest children.
func (l *Layout) appendRemotePeers(sources []Source, other *region, chunk int) []Source {
	for _, rank := range other.rootCandidates(chunk) {
		sources = appendUnique(sources, remotePeer(other.instances[rank]))
	}
	stripe := other.stripe(chunk)
	return appendUnique(sources, remotePeer(other.innerNode(stripe, other.innerCount(stripe)-1)))
}

// primaryRegion returns the region that gets a chunk directly from the home region.
// Whole rounds of the home region's stripes go to one region after the other,
// so that every instance of a region gets its part of them.
func (l *Layout) primaryRegion(chunk int) *region {
	return l.remoteRegions[chunk/len(l.homeRegion.instances)%len(l.remoteRegions)]
}

func (l *Layout) withoutSelf(sources []Source) []Source {
	others := sources[:0]
	for _, source := range sources {
		if source.Kind == Origin || source.Peer.Name != l.self.Name {
			others = append(others, source)
		}
	}
	return others
}

func appendUnique(sources []Source, source Source) []Source {
	for index := range sources {
		if sources[index].Kind == source.Kind && sources[index].Peer.Name == source.Peer.Name {
			sources[index].RootRank = max(sources[index].RootRank, source.RootRank)
			return sources
		}
	}
	return append(sources, source)
}
