package topology

import (
	"slices"

	"github.com/mimosaward/mimosaward/internal/membership"
)

// SourceKind classifies sources by their location.
type SourceKind int

// The kinds of sources.
const (
	// Peer is an instance in the same region.
	Peer SourceKind = iota
	// RemotePeer is an instance in another region, behind a low-bandwidth link.
	RemotePeer
	// Origin is the origin of the weights.
	Origin
)

// Source is an instance or the origin, from which a chunk can be fetched.
type Source struct {
	Kind SourceKind
	Peer membership.Instance
	// RootRank is the position of a peer of the same region among the root candidates
	// for the chunk, 0 for the stripe's root itself, or NotRootCandidate.
	RootRank int
}

// NotRootCandidate is the RootRank of a source that never acts as the root.
const NotRootCandidate = -1

// OriginSource returns the origin as a source.
func OriginSource() Source { return Source{Kind: Origin, RootRank: NotRootCandidate} }

// PeerSource returns an instance as a source, of kind Peer or RemotePeer according to
// its region.
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

// Name returns the identifier of the source that is used in logs and for exclusion.
func (s Source) Name() string {
	if s.Kind == Origin {
		return "origin"
	}
	return s.Peer.Name
}

// Sources returns the sources from which self fetches a chunk, in order of preference.
// A later source is used when the earlier ones are excluded or cannot deliver. A
// source of a more distant kind is used when every source of a closer kind is
// excluded.
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

// sourcesCapacity is the initial capacity for the sources of a chunk, their usual
// number.
const sourcesCapacity = 40

// RootSources returns the sources from which self fetches a chunk after another
// instance requested that it take over as the root of the chunk's stripe: the root
// candidates before self if any is available, otherwise sources outside the region.
func (l *Layout) RootSources(chunk int) []Source {
	return l.appendUpstream(l.withoutSelf(l.appendRootCandidates(nil, chunk)), chunk)
}

// appendFallbackParents adds the nodes that have spare upload capacity when a parent
// is gone: the parents of that parent in every stripe, in an order that differs
// between siblings and chunks. Nodes that are children of the same parent in the
// chunk's stripe wait for the same chunk, so they come last, after the stripe's other
// inner nodes.
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

// maxFallbackInnerNodes is the maximum number of inner nodes of the chunk's stripe
// that an instance adds as fallbacks for a lost parent.
const maxFallbackInnerNodes = 4

// appendRootCandidates adds the root candidates for a chunk that come before self. The
// first available candidate acts as the root.
func (l *Layout) appendRootCandidates(sources []Source, chunk int) []Source {
	for rootRank, rank := range l.ownRegion.rootCandidates(chunk) {
		if rank == l.selfRank {
			break
		}
		sources = appendUnique(sources, Source{Kind: Peer, Peer: l.ownRegion.instances[rank], RootRank: rootRank})
	}
	return sources
}

// maxRootCandidates is the maximum number of instances of a region that may act as the
// root for a chunk.
const maxRootCandidates = 4

// rootCandidates returns the ranks of the instances that act as the root for a chunk,
// in failover order: the stripe's root, then instances that differ from chunk to
// chunk, so that the work of a lost root is spread over the region.
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

// appendUpstream adds the sources from which a stripe's root fetches a chunk. In the
// home region that is the origin. Any other region fetches the chunks of which it is the
// primary region from the home region, and the other chunks from their primary regions,
// so that every link between regions carries a part of the weights, and each chunk at
// most once.
func (l *Layout) appendUpstream(sources []Source, chunk int) []Source {
	if l.self.Region == l.homeRegionName || l.homeRegion == nil {
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

// appendRemotePeers adds the root candidates for the chunk in another region, since
// they receive it first, then the last inner node of its stripe, which has the fewest
// children.
func (l *Layout) appendRemotePeers(sources []Source, other *region, chunk int) []Source {
	for _, rank := range other.rootCandidates(chunk) {
		sources = appendUnique(sources, remotePeer(other.instances[rank]))
	}
	stripe := other.stripe(chunk)
	return appendUnique(sources, remotePeer(other.innerNode(stripe, other.innerCount(stripe)-1)))
}

// primaryRegion returns the region that fetches a chunk directly from the home region.
// Runs of consecutive chunks, one for each instance of the home region, are assigned
// to the other regions in turn, so that every instance of a region receives its part
// of them.
func (l *Layout) primaryRegion(chunk int) *region {
	return l.remoteRegions[chunk/len(l.homeRegion.instances)%len(l.remoteRegions)]
}

// withoutSelf removes self from sources in place.
func (l *Layout) withoutSelf(sources []Source) []Source {
	others := sources[:0]
	for _, source := range sources {
		if source.Kind == Origin || source.Peer.Name != l.self.Name {
			others = append(others, source)
		}
	}
	return others
}

// appendUnique adds a source unless sources contains it. If it does, the higher RootRank
// is kept.
func appendUnique(sources []Source, source Source) []Source {
	for index := range sources {
		if sources[index].Kind == source.Kind && sources[index].Peer.Name == source.Peer.Name {
			sources[index].RootRank = max(sources[index].RootRank, source.RootRank)
			return sources
		}
	}
	return append(sources, source)
}
