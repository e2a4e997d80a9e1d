package gateway

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// digest returns the load report that the gateway sends to its peers.
func (g *Gateway) digest() peering.Digest {
	digest := peering.Digest{
		Ready: g.ready(), Stopping: g.drain.started(), ReadsStore: g.peerTable.IsReader() && g.observer.StoreAvailable(),
		BeginsReading: g.peerTable.BeginsReading() && !g.observer.StoreFailed(),
	}
	if config := g.observer.Configuration(); config != nil {
		digest.Configuration = config.Version()
	}
	if ago, wrote := g.checkpoint.WroteAgo(); wrote {
		digest.WroteCheckpoint = max(ago, 1)
	}
	digest.Quarantine = g.quarantine.Digest(time.Now())
	g.dispatcher.AddTo(&digest)
	for _, rollout := range g.observer.Rollouts().All() {
		digest.Rollouts = append(digest.Rollouts, peering.Rollout{Model: rollout.Model, Version: rollout.Version, Age: time.Since(rollout.Since)})
	}
	return digest
}

// applyDigest applies the load report of another gateway.
func (g *Gateway) applyDigest(digest peering.Digest) {
	for _, rollout := range digest.Rollouts {
		g.observer.Rollouts().Merge(rollout.Model, rollout.Version, time.Now().Add(-rollout.Age))
	}
	g.quarantine.Merge(digest.Quarantine, true, time.Now())
	g.dispatcher.RecordAnnounced(digest.Announced, 0)
	for _, report := range digest.Reports {
		g.dispatcher.RecordAnnounced(report.Announced, report.Age)
	}
	g.dispatcher.RecordDigest(digest)
}

// applyReport applies the report of another cell.
func (g *Gateway) applyReport(report peering.Report) {
	g.quarantine.Merge(report.Quarantine, false, time.Now())
	g.dispatcher.RecordAnnounced(report.Announced, report.Age)
}
