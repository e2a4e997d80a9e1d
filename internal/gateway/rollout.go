package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/storewatch"
	"github.com/mimosaward/mimosaward/platform"
)

// firstTokenMargin is the time from sending a request to its first token. It is subtracted
// from the rollout bound, which otherwise may expire between these two events.
const firstTokenMargin = 700 * time.Millisecond

// minVersion returns the minimum version of a model that may serve a new request.
func (g *Gateway) minVersion(model string) int64 {
	return g.observer.Rollouts().NewestKnownFor(model, g.bounds.Load().Rollout-firstTokenMargin)
}

// replacedFor returns for how long a higher version of a model than the given one has been
// known, 0 if there is none.
func (g *Gateway) replacedFor(model string, version int64) time.Duration {
	since := g.observer.Rollouts().ReplacedSince(model, version)
	if version == 0 || since.IsZero() {
		return 0
	}
	return time.Since(since)
}

const (
	// historyInterval is how often the version history in the object store is checked for
	// missing versions.
	historyInterval = 200 * time.Millisecond
	// historyRankDelay is the delay, per rank of a gateway, before it writes versions
	// that the gateways of lower rank have not written.
	historyRankDelay = 400 * time.Millisecond
)

// maintainHistory records in the object store when each version was first seen, so that
// the times survive a restart of gateways, even of all at once. Gateways are delayed by
// their rank, so that usually only one writes.
func (g *Gateway) maintainHistory(ctx context.Context) {
	for concurrency.Tick(ctx, historyInterval) {
		g.observer.DateVersions()
		if !g.observer.VersionsDated() {
			continue
		}
		for name, object := range g.observer.RolloutObjects() {
			model, version, err := platform.DecodeRollout(object.Name, object.Value)
			if err != nil {
				// The observer has already logged the error.
				continue
			}
			delay := time.Duration(g.rank()) * historyRankDelay
			firstSeen := g.observer.Rollouts().KnownSince(model, version)
			if firstSeen.IsZero() || time.Since(firstSeen) < delay || storewatch.StatusHasVersion(object, version) {
				continue
			}
			g.writeHistory(ctx, name, model, object)
		}
	}
}

func (g *Gateway) writeHistory(ctx context.Context, name, model string, object informer.Object) {
	var history []storewatch.VersionRecord
	for _, rollout := range g.observer.Rollouts().History(model) {
		since := g.clock.Now().Add(-time.Since(rollout.Since))
		history = append(history, storewatch.VersionRecord{Version: rollout.Version, KnownSinceUnixMilli: since.UnixMilli()})
	}
	err := g.store.SetStatus(ctx, platform.KindRollouts, name, object.Revision, history)
	switch {
	case err == nil || errors.Is(err, informer.ErrConflict):
		// A conflict means that another gateway wrote the history, or that the operators
		// set a newer version.
	default:
		g.Log.Emit(event.StoreUnreachable, event.Fields{"kind": platform.KindRollouts, "error": err.Error()})
	}
	concurrency.Sleep(ctx, historyRankDelay)
}

// rank returns the number of gateways that are alive and sort before this one by name.
func (g *Gateway) rank() int {
	rank := 0
	for _, peer := range g.peerTable.Alive() {
		if peer.Digest.Member.Name < g.self.Name {
			rank++
		}
	}
	return rank
}
