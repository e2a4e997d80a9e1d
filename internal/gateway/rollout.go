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

// beginMargin is the time from sending a request to its first token, within which the
// bound of a rollout may pass.
const beginMargin = 700 * time.Millisecond

// demandedVersion returns the version of a model below which nothing may begin.
func (g *Gateway) demandedVersion(model string) int64 {
	return g.observer.Rollouts().NewestKnownFor(model, g.bounds.Load().Rollout-beginMargin)
}

const (
	// historyInterval is how often the history of versions in the store is compared with
	// what is known.
	historyInterval = 200 * time.Millisecond
	// historyTurn is the time after which the next gateway writes what the ones before
	// it have not.
	historyTurn = 400 * time.Millisecond
)

// keepHistory notes in the store when versions became known, so that gateways that
// restart know it, even all at once. The gateways take turns by name, so that usually
// one writes.
func (g *Gateway) keepHistory(ctx context.Context) {
	for concurrency.Sleep(ctx, historyInterval) {
		for name, object := range g.observer.RolloutObjects() {
			model, version, err := platform.DecodeRollout(object.Value)
			if err != nil {
				// The observer has reported it.
				continue
			}
			turn := time.Duration(g.rank()) * historyTurn
			known := g.observer.Rollouts().KnownSince(model, version)
			if known.IsZero() || time.Since(known) < turn || storewatch.StatusHasVersion(object, version) {
				continue
			}
			g.writeHistory(ctx, name, model, object)
		}
	}
}

func (g *Gateway) writeHistory(ctx context.Context, name, model string, object informer.Object) {
	var history []storewatch.VersionRecord
	for _, named := range g.observer.Rollouts().History(model) {
		history = append(history, storewatch.VersionRecord{Version: named.Version, KnownSinceUnixMilli: named.Since.UnixMilli()})
	}
	err := g.store.SetStatus(ctx, platform.KindRollouts, name, object.Revision, history)
	switch {
	case err == nil || errors.Is(err, informer.ErrConflict):
		// After a conflict another gateway wrote it, or a newer version was named.
	default:
		g.Log.Emit(event.StoreUnreachable, event.Fields{"kind": platform.KindRollouts, "error": err.Error()})
	}
	concurrency.Sleep(ctx, historyTurn)
}

// rank returns the place of this gateway among those that are alive, by name.
func (g *Gateway) rank() int {
	rank := 0
	for _, peer := range g.table.Alive() {
		if peer.Digest.Member.Name < g.self.Name {
			rank++
		}
	}
	return rank
}
