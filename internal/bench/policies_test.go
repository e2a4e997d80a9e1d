package bench

import (
	"math/rand/v2"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/topology"
)

// policy is a strategy for distributing weights. Without sources, the fetcher
// uses its own.
type policy struct {
	name            string
	sources         func(layout *topology.Layout, chunk int) []topology.Source
	storeAndForward bool
}

func (p policy) applyTo(c burstCase) burstCase {
	c.policy, c.storeAndForward = p.name, p.storeAndForward
	if p.sources != nil {
		c.sources = p2p.SourcesFunc(p.sources)
	}
	return c
}

// policies returns the production policy, striped, and the baselines.
func policies() []policy {
	return []policy{
		{name: "striped"},
		{name: "origin", sources: func(*topology.Layout, int) []topology.Source { return []topology.Source{topology.OriginSource()} }},
		{name: "wholeFileTree", sources: treeSources, storeAndForward: true},
		{name: "pipelinedTree", sources: treeSources},
		{name: "randomSwarm", sources: randomSources},
	}
}

// treeFanOut is the fan-out of the tree in the baseline policies.
const treeFanOut = 2

// treeSources arranges all instances in one tree that is the same for every
// chunk. The sources are the ancestors of the instance, nearest first, and then
// the origin.
func treeSources(layout *topology.Layout, _ int) []topology.Source {
	ordered, index := layout.Members()
	if index == 0 {
		return []topology.Source{topology.OriginSource()}
	}
	var sources []topology.Source
	for parent := (index - 1) / treeFanOut; ; parent = (parent - 1) / treeFanOut {
		sources = append(sources, layout.PeerSource(ordered[parent]))
		if parent == 0 {
			return append(sources, topology.OriginSource())
		}
	}
}

// randomPeers is the number of random instances drawn as sources of a chunk.
const randomPeers = 6

// randomSources returns random peers, those nearby first. For each chunk, one
// instance downloads it from the origin instead.
func randomSources(layout *topology.Layout, chunk int) []topology.Source {
	ordered, index := layout.Members()
	if chunk%len(ordered) == index {
		return []topology.Source{topology.OriginSource()}
	}
	var near, far []topology.Source
	for range randomPeers {
		other := rand.IntN(len(ordered))
		if other == index {
			continue
		}
		source := layout.PeerSource(ordered[other])
		if source.Kind == topology.Peer {
			near = append(near, source)
		} else {
			far = append(far, source)
		}
	}
	return append(append(near, far...), layout.PeerSource(firstOther(ordered, index)))
}

func firstOther(ordered []membership.Instance, index int) membership.Instance {
	return ordered[(index+1)%len(ordered)]
}
