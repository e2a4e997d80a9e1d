package topology

import "github.com/mimosaward/mimosaward/internal/membership"

// maxOwners is the maximum number of instances of a region from which a chunk that
// does not arrive through the stripe's tree is requested: the chunk's owner and the
// instances that replace it when it is unavailable.
const maxOwners = 3

// Owners returns the instances of self's region from which every instance there
// requests a chunk that does not arrive through the stripe's tree, in order of
// preference. The owner of a chunk is chosen by rendezvous hashing, so instances with
// different member lists mostly agree on it.
func (l *Layout) Owners(chunk string) []Source {
	return l.owners(chunk, l.ownRegion)
}

// UpstreamOwners returns the sources from which an owner fetches the chunk: the
// chunk's owners in the home region, then the origin.
func (l *Layout) UpstreamOwners(chunk string) []Source {
	if l.homeRegion == nil || l.homeRegion == l.ownRegion {
		return []Source{OriginSource()}
	}
	return append(l.owners(chunk, l.homeRegion), OriginSource())
}

func (l *Layout) owners(chunk string, r *region) []Source {
	var sources []Source
	for _, instance := range membership.TopRanked("keeper/"+chunk, r.instances, maxOwners) {
		sources = append(sources, l.PeerSource(instance))
	}
	return sources
}
