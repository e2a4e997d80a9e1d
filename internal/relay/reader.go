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

// peerProgress records the ticket number up to which each other reader of the
// zone is complete.
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

// storeCursor is the position up to which a reader has read the store, written
// acknowledgements and written checkpoints.
type storeCursor struct {
	revision     int64
	upTo         int64
	acknowledged int64
	checkpointed int64
}

// noRevision marks a cursor from which the whole configuration must be loaded.
const noRevision = -1

// runReader watches the object API while this process is a reader.
func (r *Relay) runReader(ctx context.Context) {
	cursor := storeCursor{revision: noRevision}
	for ctx.Err() == nil {
		if !r.position().reader {
			r.activeReader.Store(false)
			cursor.revision = noRevision
			concurrency.Sleep(ctx, retryDelay)
			continue
		}
		if err := r.readStore(ctx, &cursor); err != nil {
			r.handleStoreError(ctx, err)
			cursor.revision = noRevision
			continue
		}
		if !r.activeReader.Swap(true) {
			r.Log.Emit(event.StoreReachable, event.Fields{"upTo": cursor.upTo})
		}
		r.acknowledge(ctx, &cursor)
		r.writeCheckpoint(ctx, &cursor)
	}
}

// handleStoreError logs the first error after a successful read, and then pauses.
func (r *Relay) handleStoreError(ctx context.Context, err error) {
	if r.activeReader.Swap(false) {
		r.Log.Emit(event.StoreUnreachable, event.Fields{"error": err.Error()})
	}
	concurrency.Sleep(ctx, watchWait)
}

// readStore loads the whole configuration if the cursor has no revision.
// Otherwise it waits for changes after the cursor.
func (r *Relay) readStore(ctx context.Context, cursor *storeCursor) error {
	timeout := storeTimeout
	if cursor.revision != noRevision {
		timeout = watchWait + watchSlack
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	result, err := r.loadOrWatch(ctx, cursor)
	if err != nil {
		return err
	}
	cursor.revision, cursor.upTo = result.Revision, result.UpTo
	r.mergeEntries(result.Entries, result.UpTo)
	r.updateHasAllScopes(true, result.UpTo)
	r.Freshness.ConfirmStore(start)
	return nil
}

func (r *Relay) loadOrWatch(ctx context.Context, cursor *storeCursor) (ticketstore.ReadResult, error) {
	if cursor.revision == noRevision {
		return r.Tickets.Load(ctx)
	}
	return r.Tickets.Watch(ctx, cursor.upTo, cursor.revision, watchWait)
}

// confirmRound pulls from other readers and then starts a heartbeat. A reader
// confirms its own zone only once it has caught up with the object API or with
// other zones.
func (r *Relay) confirmRound(ctx context.Context) {
	position := r.position()
	if !position.reader {
		return
	}
	r.round++
	var pulls conc.WaitGroup
	for _, peer := range r.roundPeers(position.parents) {
		pulls.Go(func() { r.pullReader(ctx, peer) })
	}
	pulls.Wait()
	r.updateCaughtUp()
	if r.readership.mayConfirm() && r.hasAllScopes.Load() {
		r.Freshness.ConfirmZone(r.Self.AvailabilityZone, time.Now())
	}
	r.startHeartbeat()
}

// updateCaughtUp records whether this reader has caught up since its settle time
// ended.
func (r *Relay) updateCaughtUp() {
	settled, reader := r.readership.settledAt()
	if reader && r.Freshness.CaughtUp(r.Self.AvailabilityZone, r.Membership.View().Zones(), settled) {
		r.readership.setCaughtUp(settled)
	}
}

// roundPeers returns the readers to pull from in this round. These are always the
// other readers of the own zone, since an acknowledgement requires their progress.
// In addition, it returns one reader of each other zone, chosen in turn: in every
// round while this process cannot read the object API, and in every
// crossZoneRoundInterval-th round otherwise.
func (r *Relay) roundPeers(readers []membership.Instance) []membership.Instance {
	ownZoneOnly := r.activeReader.Load() && r.round%crossZoneRoundInterval != 0
	otherZones := map[string][]membership.Instance{}
	var peers []membership.Instance
	for _, reader := range readers {
		if reader.AvailabilityZone == r.Self.AvailabilityZone {
			peers = append(peers, reader)
			continue
		}
		otherZones[reader.AvailabilityZone] = append(otherZones[reader.AvailabilityZone], reader)
	}
	if ownZoneOnly {
		return peers
	}
	for _, zoneReaders := range otherZones {
		peers = append(peers, zoneReaders[r.round%len(zoneReaders)])
	}
	return peers
}

func (r *Relay) pullReader(ctx context.Context, peer membership.Instance) {
	reply, err := r.pull(ctx, peer, nil, noHeartbeat, 0, readerPullTimeout)
	if err == nil && peer.AvailabilityZone == r.Self.AvailabilityZone {
		r.peers.set(peer.Name, reply.UpTo)
	}
}

// acknowledge writes to the store the number up to which every reader of the zone
// has all tickets. It writes nothing while the instance list is older than
// listMaxAge, since the zone may then have a reader that is missing from the list.
func (r *Relay) acknowledge(ctx context.Context, cursor *storeCursor) {
	if time.Since(time.Unix(0, r.listReadAt.Load())) > listMaxAge {
		return
	}
	upTo := r.State.Snapshot().UpTo()
	for _, peer := range r.position().parents {
		if peer.AvailabilityZone == r.Self.AvailabilityZone {
			upTo = min(upTo, r.peers.get(peer.Name))
		}
	}
	if upTo <= cursor.acknowledged {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	ack := ticketstore.Ack{Zone: r.Self.AvailabilityZone, Instance: r.Self.Name, UpTo: upTo}
	if err := r.Tickets.WriteAck(ctx, ack); err == nil {
		cursor.acknowledged = upTo
	}
}

// writeCheckpoint stores the configuration when a checkpoint is due, so that a
// starting reader has to read few tickets.
func (r *Relay) writeCheckpoint(ctx context.Context, cursor *storeCursor) {
	snapshot := r.State.Snapshot()
	if !ticketstore.CheckpointDue(cursor.checkpointed, snapshot.UpTo()) || !r.hasAllScopes.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := r.Tickets.WriteCheckpoint(ctx, snapshot); err == nil {
		cursor.checkpointed = snapshot.UpTo()
	}
}
