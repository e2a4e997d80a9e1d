package p2p

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/topology"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// burst is the fetch of one weight set.
type burst struct {
	fetcher  *Fetcher
	manifest *weights.Manifest
	layout   *topology.Layout
	suspects *suspects
	start    time.Time
	// takeOvers, rescues and queues are set by prepare.
	takeOvers *takeOvers
	rescues   *takeOvers
	queues    *stripeQueues

	mu sync.Mutex
	// interval is a moving average of the time that a chunk takes.
	interval time.Duration
}

// prepare deals the missing chunks to the stripes.
func (b *burst) prepare() {
	b.start = time.Now()
	b.takeOvers = newTakeOvers(b.manifest.Chunks(), func(ctx context.Context, index int) {
		b.tryRound(ctx, b.layout.RootSources(index), index, true)
	})
	b.rescues = newTakeOvers(b.manifest.Chunks(), b.rescueFromUpstream)
	b.queues = newStripeQueues(b.layout.Stripes())
	for index, chunk := range b.manifest.Chunks() {
		if !b.fetcher.Store.Has(chunk) {
			b.queues.add(b.layout.Stripe(index), index)
		}
	}
}

// work fetches the chunks of one stripe, then assists the others.
func (b *burst) work(ctx context.Context, stripe int) {
	for ctx.Err() == nil {
		index, found := b.queues.next(stripe)
		if !found {
			break
		}
		b.fetchChunk(ctx, index, false)
	}
	for ctx.Err() == nil {
		index, found, left := b.queues.assist()
		switch {
		case found:
			b.fetchChunk(ctx, index, true)
		case !left:
			return
		default:
			concurrency.Sleep(ctx, b.fetcher.Timing.AssistInterval)
		}
	}
}

// fetchChunk tries the sources until the chunk is held or ctx ends. An
// assisting worker asks all sources at once instead of waiting for the
// preferred one.
func (b *burst) fetchChunk(ctx context.Context, index int, assisting bool) {
	digest := b.manifest.Chunks()[index]
	start := time.Now()
	for ctx.Err() == nil && !b.fetcher.Store.Has(digest) {
		if _, wanted := b.fetcher.Store.Pinned(b.manifest.Digest()); !wanted {
			return
		}
		sources := b.sources(index)
		// An orphan cannot know which of the others gets the chunk first.
		orphan := b.suspects.excluded(sources[0].Name())
		impatient := assisting || orphan || time.Since(start) > b.patience()
		if b.mustRescue(sources[0], time.Since(start)) {
			b.rescue(ctx, index)
			if b.fetcher.Store.Has(digest) {
				break
			}
		}
		reachable := b.tryRound(ctx, sources, index, impatient)
		switch {
		case orphan:
			concurrency.Sleep(ctx, b.fetcher.Timing.OrphanPause)
		case !reachable:
			concurrency.Sleep(ctx, b.fetcher.Timing.RetryPause)
		}
	}
	b.noteInterval(time.Since(start))
}

// patience returns how long a worker waits for its preferred source before it
// asks the others: several times what a chunk usually takes.
func (b *burst) patience() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interval == 0 {
		return b.fetcher.Timing.FirstPatience
	}
	return min(b.fetcher.Timing.FirstPatience, max(b.fetcher.Timing.MinPatience, patienceIntervals*b.interval))
}

// noteInterval keeps a moving average of the time that a chunk takes.
func (b *burst) noteInterval(taken time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.interval == 0 {
		b.interval = taken
	}
	b.interval += (taken - b.interval) / intervalWeight
}

// mustRescue reports whether a chunk is not waited for by the layout alone: it is
// overdue, or this instance begins late and would ask outside the region for what its
// neighbours may have.
func (b *burst) mustRescue(preferred topology.Source, waited time.Duration) bool {
	if b.fetcher.Late && preferred.Kind != topology.Peer {
		return true
	}
	return waited > b.fetcher.Timing.Overdue
}

// tryRound asks the preferred source that is not excluded and, if impatient,
// each of the others of its kind. It turns to sources of a farther kind only
// when every source of the nearer kind is excluded or unreachable. It reports
// whether any source was reachable.
func (b *burst) tryRound(ctx context.Context, sources []topology.Source, index int, impatient bool) bool {
	reachable := false
	kind := topology.Peer
	for place, source := range sources {
		if b.suspects.excluded(source.Name()) {
			continue
		}
		if reachable && (!impatient || source.Kind != kind) {
			break
		}
		kind = source.Kind
		request := Request{Chunk: b.manifest.Chunks()[index], TakeOver: b.takesOver(sources, source)}
		if place == 0 || source.Kind != topology.Peer || request.TakeOver {
			request.Hold = b.fetcher.Timing.Hold
		} else {
			request.Spare = true
		}
		err := b.fetchFrom(ctx, source, request)
		if err == nil {
			return true
		}
		reachable = reachable || b.mayHaveLater(err)
	}
	return reachable
}

// takesOver reports whether the source is the root for the chunk because every
// instance before it in the succession is excluded.
func (b *burst) takesOver(sources []topology.Source, source topology.Source) bool {
	if source.Succession <= 0 {
		return false
	}
	for _, other := range sources {
		if other.Succession >= 0 && other.Succession < source.Succession && !b.suspects.excluded(other.Name()) {
			return false
		}
	}
	return true
}

// mayHaveLater reports whether the source that gave the error is alive and may
// have the chunk later.
func (b *burst) mayHaveLater(err error) bool {
	early := time.Since(b.start) < b.fetcher.Timing.UnwantedGrace
	return errors.Is(err, ErrNotYet) || errors.Is(err, ErrBusy) || (early && errors.Is(err, ErrNotWanted))
}

func (b *burst) sources(index int) []topology.Source {
	if b.fetcher.Sources != nil {
		return b.fetcher.Sources(b.layout, index)
	}
	return b.layout.Sources(index)
}

// fetchFrom gets a chunk from one source, verifies it and holds it.
func (b *burst) fetchFrom(ctx context.Context, source topology.Source, request Request) error {
	digest := request.Chunk
	data, err := b.transfer(ctx, source, request)
	if err != nil {
		b.note(ctx, source, err)
		return err
	}
	err = b.fetcher.Store.Put(digest, data)
	if errors.Is(err, weights.ErrCorrupt) {
		b.chargeCorrupt(source, digest)
		return err
	}
	b.suspects.worked(source.Name())
	return err
}

func (b *burst) transfer(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	switch source.Kind {
	case topology.Origin:
		b.fetcher.counters.OriginChunks.Add(1)
		return b.fetcher.FetchOrigin(ctx, request.Chunk)
	case topology.FarPeer:
		if b.fetcher.ThinLinkDelay > 0 {
			return b.fetchSlices(ctx, source, request)
		}
		return b.fetchWholeFar(ctx, source, request)
	default:
		return b.fetchWhole(ctx, source, request)
	}
}

func (b *burst) fetchWhole(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	b.fetcher.counters.PeerRequests.Add(1)
	answer, err := b.fetcher.FetchPeer(ctx, source.Peer, request)
	return answer.Data, err
}

// fetchWholeFar gets a small chunk over a thin link at once, after it has waited for
// the source to have it. Few are in flight, so the queue that they build stays
// short.
func (b *burst) fetchWholeFar(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	if err := b.awaitFar(ctx, source, request); err != nil {
		return nil, err
	}
	turn := b.fetcher.farTurn(source.Peer.Region)
	if err := turn.Acquire(ctx); err != nil {
		return nil, err
	}
	defer turn.Release()
	request.Hold = 0
	request.Length = b.manifest.ChunkBytes
	return b.fetchWhole(ctx, source, request)
}

func (b *burst) note(ctx context.Context, source topology.Source, err error) {
	if errors.Is(err, ErrNotWanted) {
		// The answer came at once; asking again at once would be a busy loop.
		concurrency.Sleep(ctx, b.fetcher.Timing.RetryPause)
	}
	if ctx.Err() != nil || b.mayHaveLater(err) {
		return
	}
	if source.Kind == topology.Origin {
		b.suspects.failedOrigin(source.Name())
	} else {
		b.suspects.failed(source.Name())
	}
	b.fetcher.Log.Emit(event.PeerExcluded, event.Fields{"peer": source.Name(), "error": err.Error()})
}

func (b *burst) chargeCorrupt(source topology.Source, digest weights.Digest) {
	b.fetcher.counters.CorruptChunks.Add(1)
	b.fetcher.Log.Emit(event.ChunkCorrupt, event.Fields{"peer": source.Name(), "chunk": digest.String()})
	if b.suspects.corrupt(source.Name()) {
		b.fetcher.Log.Emit(event.PeerExcluded, event.Fields{"peer": source.Name(), "error": "too many corrupt chunks"})
	}
}
