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
// reach it, still receives changes. Each kind is fetched on its own, so that a source that is
// silent for one kind delays no other.
func (p *Peering) SyncCopies(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	for _, local := range p.Informers {
		group.Go((&copySync{peering: p, local: local, silentAt: map[string]time.Time{}}).run)
	}
	group.Wait()
}

// copySync brings the local copy of one kind up to date.
type copySync struct {
	peering *Peering
	local   *informer.Informer
	// behindSince is the time since which the local copy has been older than that of a
	// peer, zero if it is not.
	behindSince time.Time
	// retainedAskedAt is when retained objects were last requested.
	retainedAskedAt time.Time
	// behindLogged is the newer position that was logged last.
	behindLogged informer.Position
	// silentAt holds, by name, the time at which a gateway last failed to send a copy of this kind.
	silentAt map[string]time.Time
}

func (s *copySync) run(ctx context.Context) {
	for concurrency.Tick(ctx, exchangeInterval) {
		source, ok := s.findNewerCopy(s.peering.Table.nearPeers())
		if ok && !s.peering.fetchCopy(ctx, s.local, source) {
			s.silentAt[source.Name] = time.Now()
		}
	}
}

// findNewerCopy returns one of the peers with the newest copy, if the local copy is older than
// that or lacks objects that they retain. Peers that have sent no copy recently are left out if
// another one has a newer copy than the local one. A gateway that reads the object store waits for
// copyFetchDelay first.
func (s *copySync) findNewerCopy(peers []Peer) (Member, bool) {
	newestPosition, newest := s.newestCopies(peers)
	s.local.RecordNewerCopy(newestPosition)
	if _, responding := s.newestCopies(s.peering.responding(peers, sourceExclusion)); len(responding) > 0 {
		newest = responding
	}
	if len(newest) == 0 {
		s.behindSince = time.Time{}
		retaining := s.retaining(peers)
		if len(retaining) == 0 {
			return Member{}, false
		}
		return s.peering.chooseSource(retaining), true
	}
	if s.behindSince.IsZero() {
		s.behindSince = time.Now()
	}
	source := s.peering.chooseSource(newest)
	s.logBehind(source)
	if !slices.ContainsFunc(newest, func(peer Peer) bool { return time.Since(s.silentAt[peer.Digest.Member.Name]) >= sourceRetryDelay }) {
		return source, false
	}
	return source, s.local.Passive() || time.Since(s.behindSince) >= copyFetchDelay
}

// newestCopies returns the position of the newest copy and the peers that have it, none if the local
// copy is as new.
func (s *copySync) newestCopies(peers []Peer) (informer.Position, []Peer) {
	newestPosition := s.local.Position()
	var newest []Peer
	for _, peer := range peers {
		position := peer.Digest.Copies[s.local.Kind].Position
		switch order := position.Compare(newestPosition); {
		case order > 0:
			newestPosition, newest = position, []Peer{peer}
		case order == 0 && len(newest) > 0:
			newest = append(newest, peer)
		}
	}
	return newestPosition, newest
}

// logBehind logs once that the local copy has not reached a newer one for behindLogDelay.
func (s *copySync) logBehind(source Member) {
	newer, behind := s.local.Behind()
	if behind < behindLogDelay || newer == s.behindLogged {
		return
	}
	s.behindLogged = newer
	fields := event.Fields{
		"kind": s.local.Kind, "gateway": source.Name, "behindMs": behind.Milliseconds(), "passive": s.local.Passive(),
		"ownEra": s.local.Position().Era, "ownRevision": s.local.Revision(), "era": newer.Era, "revision": newer.Revision,
	}
	if answeredAt := s.local.AnsweredAt(); !answeredAt.IsZero() {
		fields["unansweredMs"] = time.Since(answeredAt).Milliseconds()
	}
	s.peering.Log.Emit(event.CopyBehind, fields)
}

// retaining returns the peers whose copies have more objects than the local one that the store
// lost in the same era: this gateway may have started since. It returns peers only once in
// retainedInterval, because the copies may be at slightly different positions.
func (s *copySync) retaining(peers []Peer) []Peer {
	if time.Since(s.retainedAskedAt) < retainedInterval {
		return nil
	}
	var retaining []Peer
	for _, peer := range peers {
		if state := peer.Digest.Copies[s.local.Kind]; state.Position.Era == s.local.Position().Era && state.Retained > s.local.RetainedCount() {
			retaining = append(retaining, peer)
		}
	}
	if len(retaining) > 0 {
		s.retainedAskedAt = time.Now()
	}
	return retaining
}

// responding returns the gateways that have not failed to send a copy within a time.
func (p *Peering) responding(peers []Peer, within time.Duration) []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return now.Sub(p.silentAt[peer.Digest.Member.Name]) < within })
}

// chooseSource returns a random gateway, if possible one that has not failed to send a copy
// recently.
func (p *Peering) chooseSource(peers []Peer) Member {
	responding := p.responding(peers, sourceExclusion)
	if len(responding) == 0 {
		responding = peers
	}
	return responding[rand.IntN(len(responding))].Digest.Member
}

func (p *Peering) excludeSource(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silentAt == nil {
		p.silentAt = map[string]time.Time{}
	}
	p.silentAt[name] = time.Now()
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

// fetchCopy brings the local copy up to date with that of another gateway, and reports whether that
// gateway responded.
func (p *Peering) fetchCopy(ctx context.Context, local *informer.Informer, source Member) bool {
	fields := event.Fields{"kind": local.Kind, "gateway": source.Name, "ownRevision": local.Revision(), "ownEra": local.Position().Era}
	for _, since := range []informer.Position{local.Position(), {}} {
		reply, err := p.requestCopy(ctx, source, CopyArgs{Kind: local.Kind, Since: since})
		if err != nil {
			p.excludeSource(source.Name)
			fields["error"] = err.Error()
			p.Log.Emit(event.SnapshotFailed, fields)
			return false
		}
		if !reply.Held {
			return true
		}
		changed, complete := local.AdoptDelta(reply.Delta)
		if changed {
			fields["era"], fields["revision"], fields["objects"], fields["retained"] = reply.Delta.Era, reply.Delta.Revision, len(reply.Delta.Objects), len(reply.Delta.Retained)
			p.Log.Emit(event.SnapshotAdopted, fields)
		}
		if complete {
			return true
		}
	}
	return true
}
