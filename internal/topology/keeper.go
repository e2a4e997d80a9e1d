package topology

import "github.com/mimosaward/mimosaward/internal/membership"

// maxOwners bounds the instances of a region that are asked for a chunk when the
// layout does not bring it: the keeper, and those that stand in for it.
const maxOwners = 3

// Owners returns the instances of the own region that everybody there turns to for a
// chunk when the layout does not bring it, the first one first. Instances that know
// different members mostly agree on it.
func (l *Layout) Owners(chunk string) []Source {
	return l.owners(chunk, l.ownRegion)
}

// UpstreamOwners returns where a keeper gets the chunk: from the keepers of the home
// region, then from the origin.
func (l *Layout) UpstreamOwners(chunk string) []Source {
	if l.homeRegion == nil || l.homeRegion == l.ownRegion {
		return []Source{OriginSource()}
	}
	return append(l.owners(chunk, l.homeRegion), OriginSource())
}

func (l *Layout) owners(chunk string, r *region) []Source {
	var sources []Source
	for _, instance := range membership.Top("keeper/"+chunk, r.instances, maxOwners) {
		sources = append(sources, l.PeerSource(instance))
	}
	return sources
}
