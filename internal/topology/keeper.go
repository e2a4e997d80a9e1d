package topology

import "github.com/mimosaward/mimosaward/internal/membership"

// maxKeepers bounds the instances of a region that are asked for a chunk when the
// layout does not bring it: the keeper, and those that stand in for it.
const maxKeepers = 3

// Owners returns the instances of the own region that everybody there turns to for a
// chunk when the layout does not bring it, the first one first. Instances that know
// different members mostly agree on it.
func (l *Layout) Owners(chunk string) []Source {
	return l.keepers(chunk, l.own)
}

// UpstreamOwners returns where a keeper gets the chunk: from the keepers of the home
// region, then from the origin.
func (l *Layout) UpstreamOwners(chunk string) []Source {
	if l.homeRegion == nil || l.homeRegion == l.own {
		return []Source{OriginSource()}
	}
	return append(l.keepers(chunk, l.homeRegion), OriginSource())
}

func (l *Layout) keepers(chunk string, of *region) []Source {
	var keepers []Source
	for _, instance := range membership.Top("keeper/"+chunk, of.ranked, maxKeepers) {
		keepers = append(keepers, l.PeerSource(instance))
	}
	return keepers
}
