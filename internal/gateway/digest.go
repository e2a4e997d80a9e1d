package gateway

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// digest tells the other gateways how this one is.
func (g *Gateway) digest() peering.Digest {
	digest := peering.Digest{Ready: g.ready(), Stopping: g.stopping.Load()}
	digest.Loads, digest.Demands = g.dispatcher.LocalLoad()
	for _, named := range g.observer.Rollouts().All() {
		digest.Rollouts = append(digest.Rollouts, peering.Rollout{Model: named.Model, Version: named.Version, Age: time.Since(named.Since)})
	}
	return digest
}

// noteDigest takes over what another gateway tells.
func (g *Gateway) noteDigest(digest peering.Digest) {
	for _, rollout := range digest.Rollouts {
		g.observer.Rollouts().Merge(rollout.Model, rollout.Version, time.Now().Add(-rollout.Age))
	}
	g.dispatcher.RecordDigest(digest)
}
