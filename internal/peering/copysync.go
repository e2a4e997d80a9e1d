package peering

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
)

// SyncCopies fetches what is newer in the copies of other gateways than in the local ones,
// until ctx is done. This way, a gateway that does not read the object store, or cannot
// reach it, still receives changes.
func (p *Peering) SyncCopies(ctx context.Context) {
	p.behindSince = map[string]time.Time{}
	for concurrency.Tick(ctx, exchangeInterval) {
		group := concurrency.NewGroup(ctx)
		for _, local := range p.Informers {
			if newest, ok := p.findNewerCopy(local); ok {
				group.Go(func(ctx context.Context) { p.fetchCopy(ctx, local, newest) })
			}
		}
		group.Wait()
	}
}

// findNewerCopy returns a gateway of the cell or the region with the newest copy of a kind,
// if the local copy has been older than that for at least copyFetchDelay.
func (p *Peering) findNewerCopy(local *informer.Informer) (Member, bool) {
	newestRevision := local.Revision()
	var newest []Peer
	for _, peer := range p.Table.nearPeers() {
		switch revision := peer.Digest.Revisions[local.Kind]; {
		case revision > newestRevision:
			newestRevision, newest = revision, []Peer{peer}
		case revision == newestRevision && len(newest) > 0:
			newest = append(newest, peer)
		}
	}
	if len(newest) == 0 {
		delete(p.behindSince, local.Kind)
		return Member{}, false
	}
	start, tracked := p.behindSince[local.Kind]
	if !tracked {
		start = time.Now()
		p.behindSince[local.Kind] = start
	}
	source := newest[rand.IntN(len(newest))].Digest.Member
	return source, local.Passive() || time.Since(start) >= copyFetchDelay
}

// fetchCopy brings the local copy up to date with that of another gateway.
func (p *Peering) fetchCopy(ctx context.Context, local *informer.Informer, source Member) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	fields := event.Fields{"kind": local.Kind, "gateway": source.Name, "ownRevision": local.Revision()}
	for _, since := range []int64{local.Revision(), 0} {
		var reply CopyReply
		if err := p.BulkControl.Call(ctx, source.Control, copyMethod, &CopyArgs{Kind: local.Kind, Since: since}, &reply); err != nil {
			fields["error"] = err.Error()
			p.Log.Emit(event.SnapshotFailed, fields)
			return
		}
		if !reply.Held {
			return
		}
		changed, complete := local.AdoptDelta(reply.Delta)
		if changed {
			fields["revision"], fields["objects"] = reply.Delta.Revision, len(reply.Delta.Objects)
			p.Log.Emit(event.SnapshotAdopted, fields)
		}
		if complete {
			return
		}
	}
}
