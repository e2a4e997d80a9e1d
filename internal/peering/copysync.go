package peering

import (
	"context"
	"math/rand/v2"
	"slices"
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
		peers := p.Table.nearPeers()
		for _, local := range p.Informers {
			if newest, ok := p.findNewerCopy(local, peers); ok {
				group.Go(func(ctx context.Context) { p.fetchCopy(ctx, local, newest) })
			}
		}
		group.Wait()
	}
}

// findNewerCopy returns one of the peers with the newest copy of a kind, if the local copy is
// older than that. A gateway that reads the object store waits for copyFetchDelay first.
func (p *Peering) findNewerCopy(local *informer.Informer, peers []Peer) (Member, bool) {
	newestRevision := local.Revision()
	var newest []Peer
	for _, peer := range peers {
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
	source := p.chooseSource(newest)
	return source, local.Passive() || time.Since(start) >= copyFetchDelay
}

// chooseSource returns a random gateway, if possible one that has not failed to send a copy
// recently.
func (p *Peering) chooseSource(peers []Peer) Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	responding := slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return now.Before(p.silentUntil[peer.Digest.Member.Name]) })
	if len(responding) == 0 {
		responding = peers
	}
	return responding[rand.IntN(len(responding))].Digest.Member
}

func (p *Peering) excludeSource(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silentUntil == nil {
		p.silentUntil = map[string]time.Time{}
	}
	p.silentUntil[name] = time.Now().Add(sourceExclusion)
}

// requestCopy requests the objects of a kind that changed after a revision.
func (p *Peering) requestCopy(ctx context.Context, source Member, args CopyArgs) (CopyReply, error) {
	timeout := deltaTimeout
	if args.Since == 0 {
		timeout = copyTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply CopyReply
	err := p.BulkControl.Call(ctx, source.Control, copyMethod, &args, &reply)
	return reply, err
}

// fetchCopy brings the local copy up to date with that of another gateway.
func (p *Peering) fetchCopy(ctx context.Context, local *informer.Informer, source Member) {
	fields := event.Fields{"kind": local.Kind, "gateway": source.Name, "ownRevision": local.Revision()}
	for _, since := range []int64{local.Revision(), 0} {
		reply, err := p.requestCopy(ctx, source, CopyArgs{Kind: local.Kind, Since: since})
		if err != nil {
			p.excludeSource(source.Name)
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
