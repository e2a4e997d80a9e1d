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
	p.behindSince, p.retainedAskedAt = map[string]time.Time{}, map[string]time.Time{}
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
// older than that or lacks objects that
// they retain. A gateway that reads the object store waits for copyFetchDelay first.
func (p *Peering) findNewerCopy(local *informer.Informer, peers []Peer) (Member, bool) {
	newestPosition := local.Position()
	var newest []Peer
	for _, peer := range peers {
		position := peer.Digest.Copies[local.Kind].Position
		switch order := position.Compare(newestPosition); {
		case order > 0:
			newestPosition, newest = position, []Peer{peer}
		case order == 0 && len(newest) > 0:
			newest = append(newest, peer)
		}
	}
	if len(newest) == 0 {
		delete(p.behindSince, local.Kind)
		retaining := p.retaining(local, peers)
		if len(retaining) == 0 {
			return Member{}, false
		}
		return p.chooseSource(retaining), true
	}
	start, tracked := p.behindSince[local.Kind]
	if !tracked {
		start = time.Now()
		p.behindSince[local.Kind] = start
	}
	source := p.chooseSource(newest)
	return source, local.Passive() || time.Since(start) >= copyFetchDelay
}

// retaining returns the peers whose copies have more objects than the local one that the store
// lost in the same era: this gateway may have started since. It returns peers only once in
// retainedInterval, because the copies may be at slightly different positions.
func (p *Peering) retaining(local *informer.Informer, peers []Peer) []Peer {
	if time.Since(p.retainedAskedAt[local.Kind]) < retainedInterval {
		return nil
	}
	var retaining []Peer
	for _, peer := range peers {
		if state := peer.Digest.Copies[local.Kind]; state.Position.Era == local.Position().Era && state.Retained > local.RetainedCount() {
			retaining = append(retaining, peer)
		}
	}
	if len(retaining) > 0 {
		p.retainedAskedAt[local.Kind] = time.Now()
	}
	return retaining
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

// requestCopy requests the objects of a kind that changed after a position.
func (p *Peering) requestCopy(ctx context.Context, source Member, args CopyArgs) (CopyReply, error) {
	timeout := deltaTimeout
	if args.Since.IsZero() {
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
	fields := event.Fields{"kind": local.Kind, "gateway": source.Name, "ownRevision": local.Revision(), "ownEra": local.Position().Era}
	for _, since := range []informer.Position{local.Position(), {}} {
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
			fields["era"], fields["revision"], fields["objects"], fields["retained"] = reply.Delta.Era, reply.Delta.Revision, len(reply.Delta.Objects), len(reply.Delta.Retained)
			p.Log.Emit(event.SnapshotAdopted, fields)
		}
		if complete {
			return
		}
	}
}
