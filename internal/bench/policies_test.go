package bench

import (
	"math/rand/v2"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/topology"
)

// policy is one way to spread weights.
type policy struct {
	name      string
	sources   func(layout *topology.Layout, chunk int) []topology.Source
	wholeFile bool
}

func (p policy) with(c burstCase) burstCase {
	c.policy, c.wholeFile = p.name, p.wholeFile
	if p.sources != nil {
		c.sources = p2p.SourcesFunc(p.sources)
	}
	return c
}

// policies returns the chosen way and the baselines.
func policies() []policy {
	return []policy{
		{name: "striped"},
		{name: "origin", sources: func(*topology.Layout, int) []topology.Source { return []topology.Source{topology.OriginSource()} }},
		{name: "wholeFileTree", sources: treeSources, wholeFile: true},
		{name: "pipelinedTree", sources: treeSources},
		{name: "randomSwarm", sources: randomSources},
	}
}

// treeFanOut is the fan-out of the single tree of the baselines.
const treeFanOut = 2

// treeSources makes one tree over all instances, the same for every chunk.
func treeSources(layout *topology.Layout, _ int) []topology.Source {
	ordered, index := layout.Members()
	if index == 0 {
		return []topology.Source{topology.OriginSource()}
	}
	var sources []topology.Source
	for above := (index - 1) / treeFanOut; ; above = (above - 1) / treeFanOut {
		sources = append(sources, layout.PeerSource(ordered[above]))
		if above == 0 {
			return append(sources, topology.OriginSource())
		}
	}
}

// randomPeers is the number of random instances that a round asks.
const randomPeers = 6

// randomSources asks random instances; one instance gets each chunk from the
// origin.
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
