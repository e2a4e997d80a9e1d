package peering

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
)

// SyncCopies asks other gateways for copies that are newer than the own ones, until ctx
// ends. So a gateway that the store does not serve learns of changes all the same.
func (p *Peering) SyncCopies(ctx context.Context) {
	p.behindSince = map[string]time.Time{}
	for concurrency.Sleep(ctx, exchangeInterval) {
		for _, local := range p.Informers {
			if newest, found := p.findNewerCopy(local); found {
				p.fetchCopy(ctx, local, newest)
			}
		}
	}
}

// findNewerCopy returns the gateway with the newest copy of a kind, if the own one is behind
// it for long enough.
func (p *Peering) findNewerCopy(local *informer.Informer) (Member, bool) {
	localRevision := local.Revision()
	var newest Peer
	for _, peer := range p.Table.Alive() {
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
		p.behindSince[local.Kind] = time.Now()
		return Member{}, false
	}
	return newest.Digest.Member, time.Since(start) >= copyFetchDelay
}

// fetchCopy takes over the copy of another gateway.
func (p *Peering) fetchCopy(ctx context.Context, local *informer.Informer, source Member) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply CopyReply
	err := p.BulkControl.Call(ctx, source.Control, copyMethod, &CopyArgs{Kind: local.Kind}, &reply)
	fields := event.Fields{"kind": local.Kind, "gateway": source.Name, "ownRevision": local.Revision(), "revision": reply.Snapshot.Revision}
	switch {
	case err != nil:
		fields["error"] = err.Error()
		p.Log.Emit(event.CopyFailed, fields)
	case reply.Held && local.Adopt(reply.Snapshot):
		p.Log.Emit(event.CopyAdopted, fields)
	}
}
