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

// download is the fetch of one weight set.
type download struct {
	fetcher  *Fetcher
	manifest *weights.Manifest
	layout   *topology.Layout
	failures *failureTracker
	started  time.Time
	// rootFetches, rescues and queues are set by prepare.
	rootFetches  *delegatedFetcher
	ownerFetches *delegatedFetcher
	queues       *stripeQueues

	mu sync.Mutex
	// averageChunkTime is a moving average of the time that a chunk takes.
	averageChunkTime time.Duration
}

// prepare deals the missing chunks to the stripes.
func (b *download) prepare() {
	b.started = time.Now()
	b.rootFetches = newDelegatedFetcher(b.manifest.Chunks(), func(ctx context.Context, index int) {
		b.trySources(ctx, b.layout.RootSources(index), index, true)
	})
	b.ownerFetches = newDelegatedFetcher(b.manifest.Chunks(), b.fetchFromUpstream)
	b.queues = newStripeQueues(b.layout.Stripes())
	for index, chunk := range b.manifest.Chunks() {
		if !b.fetcher.Store.Has(chunk) {
			b.queues.add(b.layout.Stripe(index), index)
		}
	}
}

// work fetches the chunks of one stripe, then assists the others.
func (b *download) work(ctx context.Context, stripe int) {
	for ctx.Err() == nil {
		index, ok := b.queues.next(stripe)
		if !ok {
			break
		}
		b.fetchChunk(ctx, index, false)
	}
	for ctx.Err() == nil {
		index, ok, remaining := b.queues.steal()
		switch {
		case ok:
			b.fetchChunk(ctx, index, true)
		case !remaining:
			return
		default:
			concurrency.Sleep(ctx, b.fetcher.Timing.StealInterval)
		}
	}
}

// fetchChunk tries the sources until the chunk is held or ctx ends. An
// assisting worker asks all sources at once instead of waiting for the
// preferred one.
func (b *download) fetchChunk(ctx context.Context, index int, stealing bool) {
	digest := b.manifest.Chunks()[index]
	start := time.Now()
	for ctx.Err() == nil && !b.fetcher.Store.Has(digest) {
		if _, wanted := b.fetcher.Store.Pinned(b.manifest.Digest()); !wanted {
			return
		}
		sources := b.sources(index)
		// An orphaned cannot know which of the others gets the chunk first.
		orphaned := b.failures.isExcluded(sources[0].Name())
		tryAll := stealing || orphaned || time.Since(start) > b.preferredTimeout()
		if b.shouldAskOwner(sources[0], time.Since(start)) {
			b.fetchViaOwner(ctx, index)
			if b.fetcher.Store.Has(digest) {
				break
			}
		}
		reachable := b.trySources(ctx, sources, index, tryAll)
		switch {
		case orphaned:
			concurrency.Sleep(ctx, b.fetcher.Timing.OrphanRetryDelay)
		case !reachable:
			concurrency.Sleep(ctx, b.fetcher.Timing.RetryDelay)
		}
	}
	b.recordChunkTime(time.Since(start))
}

// preferredTimeout returns how long a worker waits for its preferred source before it
// asks the others: several times what a chunk usually takes.
func (b *download) preferredTimeout() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.averageChunkTime == 0 {
		return b.fetcher.Timing.InitialPreferredTimeout
	}
	return min(b.fetcher.Timing.InitialPreferredTimeout, max(b.fetcher.Timing.MinPreferredTimeout, preferredTimeoutFactor*b.averageChunkTime))
}

// recordChunkTime keeps a moving average of the time that a chunk takes.
func (b *download) recordChunkTime(elapsed time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.averageChunkTime == 0 {
		b.averageChunkTime = elapsed
	}
	b.averageChunkTime += (elapsed - b.averageChunkTime) / averageWindow
}

// shouldAskOwner reports whether a chunk is not waited for by the layout alone: it is
// overdue, or this instance begins late and would ask outside the region for what its
// neighbours may have.
func (b *download) shouldAskOwner(preferred topology.Source, waited time.Duration) bool {
	if b.fetcher.JoinedLate && preferred.Kind != topology.Peer {
		return true
	}
	return waited > b.fetcher.Timing.OwnerFallbackDelay
}

// trySources asks the preferred source that is not excluded and, if impatient,
// each of the others of its kind. It turns to sources of a farther kind only
// when every source of the nearer kind is excluded or unreachable. It reports
// whether any source was reachable.
func (b *download) trySources(ctx context.Context, sources []topology.Source, index int, tryAll bool) bool {
	reachable := false
	kind := topology.Peer
	for position, source := range sources {
		if b.failures.isExcluded(source.Name()) {
			continue
		}
		if reachable && (!tryAll || source.Kind != kind) {
			break
		}
		kind = source.Kind
		request := Request{Chunk: b.manifest.Chunks()[index], FetchAsRoot: b.actsAsRoot(sources, source)}
		if position == 0 || source.Kind != topology.Peer || request.FetchAsRoot {
			request.MaxWait = b.fetcher.Timing.MaxWait
		} else {
			request.BestEffort = true
		}
		err := b.fetchFrom(ctx, source, request)
		if err == nil {
			return true
		}
		reachable = reachable || b.isRetryable(err)
	}
	return reachable
}

// actsAsRoot reports whether the source is the root for the chunk because every
// instance before it in the succession is excluded.
func (b *download) actsAsRoot(sources []topology.Source, source topology.Source) bool {
	if source.RootRank <= 0 {
		return false
	}
	for _, other := range sources {
		if other.RootRank >= 0 && other.RootRank < source.RootRank && !b.failures.isExcluded(other.Name()) {
			return false
		}
	}
	return true
}

// isRetryable reports whether the source that gave the error is alive and may
// have the chunk later.
func (b *download) isRetryable(err error) bool {
	inGracePeriod := time.Since(b.started) < b.fetcher.Timing.NotWantedGracePeriod
	return errors.Is(err, ErrNotYet) || errors.Is(err, ErrBusy) || (inGracePeriod && errors.Is(err, ErrNotWanted))
}

func (b *download) sources(index int) []topology.Source {
	if b.fetcher.Sources != nil {
		return b.fetcher.Sources(b.layout, index)
	}
	return b.layout.Sources(index)
}

// fetchFrom gets a chunk from one source, verifies it and holds it.
func (b *download) fetchFrom(ctx context.Context, source topology.Source, request Request) error {
	digest := request.Chunk
	data, err := b.transfer(ctx, source, request)
	if err != nil {
		b.recordError(ctx, source, err)
		return err
	}
	err = b.fetcher.Store.Put(digest, data)
	if errors.Is(err, weights.ErrCorrupt) {
		b.recordCorruptChunk(source, digest)
		return err
	}
	b.failures.recordSuccess(source.Name())
	return err
}

func (b *download) transfer(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	switch source.Kind {
	case topology.Origin:
		b.fetcher.counters.OriginChunks.Add(1)
		return b.fetcher.FetchOrigin(ctx, request.Chunk)
	case topology.RemotePeer:
		if b.fetcher.ThinLinkDelay > 0 {
			return b.fetchSlices(ctx, source, request)
		}
		return b.fetchWholeRemote(ctx, source, request)
	default:
		return b.fetchWhole(ctx, source, request)
	}
}

func (b *download) fetchWhole(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	b.fetcher.counters.PeerRequests.Add(1)
	response, err := b.fetcher.FetchPeer(ctx, source.Peer, request)
	return response.Data, err
}

// fetchWholeRemote gets a small chunk over a thin link at once, after it has waited for
// the source to have it. Few are in flight, so the queue that they build stays
// short.
func (b *download) fetchWholeRemote(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	if err := b.awaitRemoteChunk(ctx, source, request); err != nil {
		return nil, err
	}
	limiter := b.fetcher.remoteChunkLimiter(source.Peer.Region)
	if err := limiter.Take(ctx); err != nil {
		return nil, err
	}
	defer limiter.Give()
	request.MaxWait = 0
	request.Length = b.manifest.ChunkBytes
	return b.fetchWhole(ctx, source, request)
}

func (b *download) recordError(ctx context.Context, source topology.Source, err error) {
	if errors.Is(err, ErrNotWanted) {
		// The answer came at once; asking again at once would be a busy loop.
		concurrency.Sleep(ctx, b.fetcher.Timing.RetryDelay)
	}
	if ctx.Err() != nil || b.isRetryable(err) {
		return
	}
	if source.Kind == topology.Origin {
		b.failures.recordOriginFailure(source.Name())
	} else {
		b.failures.recordFailure(source.Name())
	}
	b.fetcher.Log.Emit(event.PeerExcluded, event.Fields{"peer": source.Name(), "error": err.Error()})
}

func (b *download) recordCorruptChunk(source topology.Source, digest weights.Digest) {
	b.fetcher.counters.CorruptChunks.Add(1)
	b.fetcher.Log.Emit(event.ChunkCorrupt, event.Fields{"peer": source.Name(), "chunk": digest.String()})
	if b.failures.recordCorruptChunk(source.Name()) {
		b.fetcher.Log.Emit(event.PeerExcluded, event.Fields{"peer": source.Name(), "error": "too many corrupt chunks"})
	}
}
