package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/checkpoint"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/peering"
	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// newCheckpoint returns the keeper of the record that outlives all gateways.
func (g *Gateway) newCheckpoint() *checkpoint.Keeper {
	return &checkpoint.Keeper{
		Get: func(ctx context.Context) (informer.Object, error) {
			return g.store.Get(ctx, checkpoint.Kind, checkpoint.Name)
		},
		Create: func(ctx context.Context, record checkpoint.Record) (informer.Object, error) {
			return g.store.Create(ctx, checkpoint.Kind, checkpoint.Name, record)
		},
		Replace: func(ctx context.Context, revision int64, record checkpoint.Record) (informer.Object, error) {
			return g.store.Replace(ctx, checkpoint.Kind, checkpoint.Name, revision, record)
		},
		Collect: g.quarantine.Record,
		Merge:   func(digest quarantine.Digest, now time.Time) { g.quarantine.Merge(digest, false, now) },
		News:    g.quarantine.News, Rank: g.rank, OthersWroteAgo: g.othersWroteCheckpointAgo, OnRestored: g.observer.DateVersions,
		Periodic: g.isSingleCell, Era: g.observer.Era, Clock: g.clock, Log: g.Log,
	}
}

// isSingleCell reports whether the fleet has a single cell. The readers of several cells rely on
// each revision of the store being that of a kind that they watch, so writes of other kinds make them
// verify all watches for a while.
func (g *Gateway) isSingleCell() bool { return len(g.peerTable.Cells().Names()) <= 1 }

// othersWroteCheckpointAgo returns the time since another gateway that is alive wrote the
// checkpoint, false if none did.
func (g *Gateway) othersWroteCheckpointAgo() (time.Duration, bool) {
	var shortest time.Duration
	known := false
	for _, peer := range g.peerTable.Alive() {
		if peer.Digest.WroteCheckpoint <= 0 {
			continue
		}
		if ago := peer.Digest.WroteCheckpoint + time.Since(peer.ReceivedAt); !known || ago < shortest {
			shortest, known = ago, true
		}
	}
	return shortest, known
}

// maxRestoreTime is how long a new gateway waits for the checkpoint if no other one is ready, and
// the object store answers other calls only.
const maxRestoreTime = 5 * time.Second

// restored reports whether this gateway knows what earlier ones recorded: it has read the checkpoint
// and applied it, or another gateway is ready and shares what it knows.
func (g *Gateway) restored() bool {
	return g.checkpoint.Restored() && g.observer.VersionsDated() || time.Since(g.startup.startedAt) > maxRestoreTime || g.otherReady()
}

// otherReady reports whether another gateway is ready.
func (g *Gateway) otherReady() bool {
	return slices.ContainsFunc(g.peerTable.Alive(), func(peer peering.Peer) bool { return peer.Digest.Ready })
}

// versionNotWrittenBefore returns a time before which a version was not requested; see
// storewatch.Observer. A gateway that starts beside others that are ready learns from them since
// when a version is known.
func (g *Gateway) versionNotWrittenBefore(revision int64, initial bool) (at time.Time, earlier, ready bool) {
	switch {
	case initial && g.otherReady():
		return time.Time{}, false, true
	case initial && (!g.checkpoint.Restored() || time.Since(g.startup.startedAt) < discoveryTime):
		return time.Time{}, false, false
	}
	at, earlier = g.checkpoint.NotWrittenBefore(revision, initial)
	return at, earlier, true
}
