package relay

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
)

// peerProgress holds how far the other readers of the zone are.
type peerProgress struct {
	mu   sync.Mutex
	upTo map[string]int64
}

func (p *peerProgress) set(name string, upTo int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.upTo == nil {
		p.upTo = map[string]int64{}
	}
	p.upTo[name] = upTo
}

func (p *peerProgress) get(name string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upTo[name]
}

// cursor is how far a reader has read the store.
type cursor struct {
	revision     int64
	upTo         int64
	acked        int64
	checkpointed int64
}

// unread is the revision of a cursor that must load everything.
const unread = -1

// read watches the object API while this process is a reader.
func (r *Relay) read(ctx context.Context) {
	at := cursor{revision: unread}
	for ctx.Err() == nil {
		if !r.place().reader {
			r.reading.Store(false)
			at.revision = unread
			concurrency.Sleep(ctx, retryPause)
			continue
		}
		if err := r.readOnce(ctx, &at); err != nil {
			r.storeFailed(ctx, err)
			at.revision = unread
			continue
		}
		if !r.reading.Swap(true) {
			r.Log.Emit(event.StoreReachable, event.Fields{"upTo": at.upTo})
		}
		r.acknowledge(ctx, &at)
		r.checkpoint(ctx, &at)
	}
}

func (r *Relay) storeFailed(ctx context.Context, err error) {
	if r.reading.Swap(false) {
		r.Log.Emit(event.StoreUnreachable, event.Fields{"error": err.Error()})
	}
	concurrency.Sleep(ctx, watchWait)
}

// readOnce loads the whole configuration if the cursor is unread, otherwise it
// waits for changes after it.
func (r *Relay) readOnce(ctx context.Context, at *cursor) error {
	timeout := storeTimeout
	if at.revision != unread {
		timeout = watchWait + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	loaded, err := r.load(ctx, at)
	if err != nil {
		return err
	}
	at.revision, at.upTo = loaded.Revision, loaded.UpTo
	r.merge(loaded.Entries, loaded.UpTo)
	r.noteScopes(true, loaded.UpTo)
	r.Freshness.ConfirmStore(start)
	return nil
}

func (r *Relay) load(ctx context.Context, at *cursor) (ticketstore.Loaded, error) {
	if at.revision == unread {
		return r.Desk.Load(ctx)
	}
	return r.Desk.Watch(ctx, at.upTo, at.revision, watchWait)
}

// vouch pulls from other readers, then starts a beat. A reader vouches for its
// own zone once it has caught up: with the object API, or with other zones.
func (r *Relay) vouch(ctx context.Context) {
	at := r.place()
	if !at.reader {
		return
	}
	r.vouches++
	var round conc.WaitGroup
	for _, peer := range r.vouchPeers(at.parents) {
		round.Go(func() { r.pullReader(ctx, peer) })
	}
	round.Wait()
	r.catchUp()
	if r.readership.mayVouch() && r.complete.Load() {
		r.Freshness.ConfirmZone(r.Self.AvailabilityZone, time.Now())
	}
	r.advance()
}

// catchUp notes that this reader has caught up since it settled.
func (r *Relay) catchUp() {
	settled, reader := r.readership.settledAt()
	if reader && r.Freshness.CaughtUp(r.Self.AvailabilityZone, r.Membership.View().Zones(), settled) {
		r.readership.noteCaughtUp(settled)
	}
}

// vouchPeers returns the readers to pull from in this round: always those of
// the own zone, whose progress an acknowledgement needs; one of each other zone
// in every round while the object API does not confirm, and now and then
// otherwise. The readers of a zone take turns.
func (r *Relay) vouchPeers(readers []membership.Instance) []membership.Instance {
	quiet := r.reading.Load() && r.vouches%quietVouchRounds != 0
	byZone := map[string][]membership.Instance{}
	var peers []membership.Instance
	for _, reader := range readers {
		if reader.AvailabilityZone == r.Self.AvailabilityZone {
			peers = append(peers, reader)
			continue
		}
		byZone[reader.AvailabilityZone] = append(byZone[reader.AvailabilityZone], reader)
	}
	if quiet {
		return peers
	}
	for _, zone := range byZone {
		peers = append(peers, zone[r.vouches%len(zone)])
	}
	return peers
}

func (r *Relay) pullReader(ctx context.Context, peer membership.Instance) {
	reply, err := r.pull(ctx, peer, nil, noBeat, 0, vouchTimeout)
	if err == nil && peer.AvailabilityZone == r.Self.AvailabilityZone {
		r.peers.set(peer.Name, reply.UpTo)
	}
}

// acknowledge records the newest ticket that every reader of the zone holds. It
// waits while the instance list cannot be read, since there may be a reader that
// this process does not know of.
func (r *Relay) acknowledge(ctx context.Context, at *cursor) {
	if time.Since(time.Unix(0, r.listRead.Load())) > listMaxAge {
		return
	}
	upTo := r.State.Snapshot().UpTo()
	for _, peer := range r.place().parents {
		if peer.AvailabilityZone == r.Self.AvailabilityZone {
			upTo = min(upTo, r.peers.get(peer.Name))
		}
	}
	if upTo <= at.acked {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ack := ticketstore.Ack{Zone: r.Self.AvailabilityZone, Instance: r.Self.Name, UpTo: upTo}
	if err := r.Desk.WriteAck(ctx, ack); err == nil {
		at.acked = upTo
	}
}

// checkpoint stores the configuration now and then, so that a starting reader
// reads few tickets.
func (r *Relay) checkpoint(ctx context.Context, at *cursor) {
	snapshot := r.State.Snapshot()
	if !ticketstore.CheckpointDue(at.checkpointed, snapshot.UpTo()) || !r.complete.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.Desk.WriteCheckpoint(ctx, snapshot); err == nil {
		at.checkpointed = snapshot.UpTo()
	}
}
