package peering

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
)

// SyncCopies fetches copies that are newer than the local ones from other gateways,
// until ctx is done. This way, a gateway that cannot reach the object store still
// receives changes.
func (p *Peering) SyncCopies(ctx context.Context) {
	p.behindSince = map[string]time.Time{}
	for concurrency.Tick(ctx, exchangeInterval) {
		for _, local := range p.Informers {
			if newest, ok := p.findNewerCopy(local); ok {
				p.fetchCopy(ctx, local, newest)
			}
		}
	}
}

// findNewerCopy returns the gateway with the newest copy of a kind, if the local copy
// has been older than a peer's for at least copyFetchDelay.
func (p *Peering) findNewerCopy(local *informer.Informer) (Member, bool) {
	localRevision := local.Revision()
	var newest Peer
	for _, peer := range p.Table.CellPeers() {
		if peer.Digest.Revisions[local.Kind] > max(localRevision, newest.Digest.Revisions[local.Kind]) {
			newest = peer
		}
	}
	if newest.ReceivedAt.IsZero() {
		delete(p.behindSince, local.Kind)
		return Member{}, false
	}
	start, tracked := p.behindSince[local.Kind]
	if !tracked {
		start = time.Now()
		p.behindSince[local.Kind] = start
	}
	return newest.Digest.Member, local.Passive() || time.Since(start) >= copyFetchDelay
}

// fetchCopy replaces the local copy by a newer one of another gateway.
func (p *Peering) fetchCopy(ctx context.Context, local *informer.Informer, source Member) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply CopyReply
	err := p.BulkControl.Call(ctx, source.Control, copyMethod, &CopyArgs{Kind: local.Kind}, &reply)
	fields := event.Fields{"kind": local.Kind, "gateway": source.Name, "ownRevision": local.Revision(), "revision": reply.Snapshot.Revision}
	switch {
	case err != nil:
		fields["error"] = err.Error()
		p.Log.Emit(event.SnapshotFailed, fields)
	case reply.Held && local.AdoptSnapshot(reply.Snapshot):
		p.Log.Emit(event.SnapshotAdopted, fields)
	}
}
