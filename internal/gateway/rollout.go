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

// firstTokenMargin is the time from sending a request to its first token, within which the
// bound of a rollout may pass.
const firstTokenMargin = 700 * time.Millisecond

// minVersion returns the version of a model below which nothing may begin.
func (g *Gateway) minVersion(model string) int64 {
	return g.observer.Rollouts().Due(model, g.bounds.Load().Rollout-firstTokenMargin)
}

const (
	// historyInterval is how often the history of versions in the store is compared with
	// what is known.
	historyInterval = 200 * time.Millisecond
	// historyTurnInterval is the time after which the next gateway writes what the ones before
	// it have not.
	historyTurnInterval = 400 * time.Millisecond
)

// maintainHistory notes in the store when versions became known, so that gateways that
// restart know it, even all at once. The gateways take turns by name, so that usually
// one writes.
func (g *Gateway) maintainHistory(ctx context.Context) {
	for concurrency.Sleep(ctx, historyInterval) {
		for name, object := range g.observer.RolloutObjects() {
			model, version, err := platform.DecodeRollout(object.Value)
			if err != nil {
				// The observer has reported it.
				continue
			}
			delay := time.Duration(g.rank()) * historyTurnInterval
			firstSeen := g.observer.Rollouts().At(model, version)
			if firstSeen.IsZero() || time.Since(firstSeen) < delay || storewatch.HasHistory(object, version) {
				continue
			}
			g.writeHistory(ctx, name, model, object)
		}
	}
}

func (g *Gateway) writeHistory(ctx context.Context, name, model string, object informer.Object) {
	var history []storewatch.NamedAt
	for _, rollout := range g.observer.Rollouts().History(model) {
		history = append(history, storewatch.NamedAt{Version: rollout.Version, UnixTime: rollout.At.UnixMilli()})
	}
	err := g.store.SetStatus(ctx, platform.KindRollouts, name, object.Revision, history)
	switch {
	case err == nil || errors.Is(err, informer.ErrConflict):
		// After a conflict another gateway wrote it, or a newer version was named.
	default:
		g.Log.Emit(event.StoreUnreachable, event.Fields{"kind": platform.KindRollouts, "error": err.Error()})
	}
	concurrency.Sleep(ctx, historyTurnInterval)
}

// rank returns the place of this gateway among those that are alive, by name.
func (g *Gateway) rank() int {
	rank := 0
	for _, peer := range g.peerTable.Alive() {
		if peer.Digest.Member.Name < g.self.Name {
			rank++
		}
	}
	return rank
}
