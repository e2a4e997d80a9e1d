package peering

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
)

// KeepUp asks other gateways for copies that are newer than the own ones, until ctx
// ends. So a gateway that the store does not serve learns of changes all the same.
func (p *Peering) KeepUp(ctx context.Context) {
	p.behind = map[string]time.Time{}
	for concurrency.Sleep(ctx, interval) {
		for _, held := range p.Copies {
			if newest, ahead := p.ahead(held); ahead {
				p.fetch(ctx, held, newest)
			}
		}
	}
}

// ahead returns the gateway with the newest copy of a kind, if the own one is behind
// it for long enough.
func (p *Peering) ahead(held *informer.Informer) (Member, bool) {
	own := held.Revision()
	var newest Peer
	for _, peer := range p.Table.Alive() {
		if peer.Digest.Revisions[held.Kind] > max(own, newest.Digest.Revisions[held.Kind]) {
			newest = peer
		}
	}
	if newest.Heard.IsZero() {
		delete(p.behind, held.Kind)
		return Member{}, false
	}
	since, known := p.behind[held.Kind]
	if !known {
		p.behind[held.Kind] = time.Now()
		return Member{}, false
	}
	return newest.Digest.Member, time.Since(since) >= lagLimit
}

// fetch takes over the copy of another gateway.
func (p *Peering) fetch(ctx context.Context, held *informer.Informer, from Member) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply CopyReply
	err := p.Bulk.Call(ctx, from.Control, copyMethod, &CopyArgs{Kind: held.Kind}, &reply)
	fields := event.Fields{"kind": held.Kind, "gateway": from.Name, "ownRevision": held.Revision(), "revision": reply.Snapshot.Revision}
	switch {
	case err != nil:
		fields["error"] = err.Error()
		p.Log.Emit(event.SnapshotFailed, fields)
	case reply.Held && held.Adopt(reply.Snapshot):
		p.Log.Emit(event.SnapshotAdopted, fields)
	}
}
