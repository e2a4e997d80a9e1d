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

// download is the state of fetching one weight set.
type download struct {
	fetcher  *Fetcher
	manifest *weights.Manifest
	layout   *topology.Layout
	failures *failureTracker
	started  time.Time
	// rootFetches, ownerFetches and queues are set by prepare.
	rootFetches  *delegatedFetcher
	ownerFetches *delegatedFetcher
	queues       *stripeQueues

	mu sync.Mutex
	// averageChunkTime is a moving average of the time to fetch a chunk.
	averageChunkTime time.Duration
}

// prepare adds the missing chunks to the queues of their stripes.
func (d *download) prepare() {
	d.started = time.Now()
	d.rootFetches = newDelegatedFetcher(d.manifest.Chunks(), func(ctx context.Context, index int) {
		d.trySources(ctx, d.layout.RootSources(index), index, true)
	})
	d.ownerFetches = newDelegatedFetcher(d.manifest.Chunks(), d.fetchFromUpstream)
	d.queues = newStripeQueues(d.layout.Stripes())
	for index, chunk := range d.manifest.Chunks() {
		if !d.fetcher.Store.Has(chunk) {
			d.queues.add(d.layout.Stripe(index), index)
		}
	}
}

// work fetches the chunks of one stripe, then steals chunks from other stripes.
func (d *download) work(ctx context.Context, stripe int) {
	for ctx.Err() == nil {
		index, ok := d.queues.next(stripe)
		if !ok {
			break
		}
		d.fetchChunk(ctx, index, false)
	}
	for ctx.Err() == nil {
		index, ok, remaining := d.queues.steal()
		switch {
		case ok:
			d.fetchChunk(ctx, index, true)
		case !remaining:
			return
		default:
			concurrency.Sleep(ctx, d.fetcher.Timing.StealInterval)
		}
	}
}

// fetchChunk tries the sources until the chunk is in the store, the weight set is no
// longer pinned or ctx ends. A stealing worker tries all sources from the start
// instead of waiting for the preferred one.
func (d *download) fetchChunk(ctx context.Context, index int, stealing bool) {
	digest := d.manifest.Chunks()[index]
	if d.fetcher.Store.Has(digest) {
		return
	}
	start := time.Now()
	for ctx.Err() == nil && !d.fetcher.Store.Has(digest) {
		if _, pinned := d.fetcher.Store.Pinned(d.manifest.Digest()); !pinned {
			return
		}
		sources := d.sources(index)
		// Without its parent, a worker cannot determine which source receives the chunk first.
		orphaned := d.failures.isExcluded(sources[0].Name())
		tryAll := stealing || orphaned || time.Since(start) > d.preferredTimeout()
		if d.shouldFetchViaOwner(sources[0], time.Since(start)) {
			d.fetchViaOwner(ctx, index)
			if d.fetcher.Store.Has(digest) {
				break
			}
		}
		reachable := d.trySources(ctx, sources, index, tryAll)
		switch {
		case orphaned:
			concurrency.Sleep(ctx, d.fetcher.Timing.OrphanRetryDelay)
		case !reachable:
			concurrency.Sleep(ctx, d.fetcher.Timing.RetryDelay)
		}
	}
	d.recordChunkTime(time.Since(start))
}

// preferredTimeout returns how long a worker waits for its preferred source before it
// tries the others: a multiple of the average time to fetch a chunk, within the limits
// of Timing.
func (d *download) preferredTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.averageChunkTime == 0 {
		return d.fetcher.Timing.InitialPreferredTimeout
	}
	return min(d.fetcher.Timing.InitialPreferredTimeout, max(d.fetcher.Timing.MinPreferredTimeout, preferredTimeoutFactor*d.averageChunkTime))
}

// recordChunkTime updates the moving average of the time to fetch a chunk.
func (d *download) recordChunkTime(elapsed time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.averageChunkTime == 0 {
		d.averageChunkTime = elapsed
	}
	d.averageChunkTime += (elapsed - d.averageChunkTime) / averageWindow
}

// shouldFetchViaOwner reports whether to request the chunk from its owner in addition to the
// layout's sources: the chunk is overdue, or this instance joined late and would fetch from
// outside the region a chunk that other instances of the region may already have.
func (d *download) shouldFetchViaOwner(preferred topology.Source, waited time.Duration) bool {
	if d.fetcher.JoinedLate && preferred.Kind != topology.Peer {
		return true
	}
	return waited > d.fetcher.Timing.OwnerFallbackDelay
}

// trySources requests a chunk from the first source that is not excluded and, if
// tryAll is set, from each of the other sources of its kind until one delivers it. It
// tries sources of a more distant kind only if every source of the closer kind is
// excluded or unreachable. It reports whether any source was reachable.
func (d *download) trySources(ctx context.Context, sources []topology.Source, index int, tryAll bool) bool {
	reachable := false
	kind := topology.Peer
	for position, source := range sources {
		if d.failures.isExcluded(source.Name()) {
			continue
		}
		if reachable && (!tryAll || source.Kind != kind) {
			break
		}
		kind = source.Kind
		request := Request{Chunk: d.manifest.Chunks()[index], FetchAsRoot: d.actsAsRoot(sources, source)}
		if position == 0 || source.Kind != topology.Peer || request.FetchAsRoot {
			request.MaxWait = d.fetcher.Timing.MaxWait
		} else {
			request.BestEffort = true
		}
		err := d.fetchFrom(ctx, source, request)
		if err == nil {
			return true
		}
		reachable = reachable || d.isRetryable(err)
	}
	return reachable
}

// actsAsRoot reports whether the source replaces the root for the chunk because every
// root candidate before it is excluded.
func (d *download) actsAsRoot(sources []topology.Source, source topology.Source) bool {
	if source.RootRank <= 0 {
		return false
	}
	for _, other := range sources {
		if other.RootRank >= 0 && other.RootRank < source.RootRank && !d.failures.isExcluded(other.Name()) {
			return false
		}
	}
	return true
}

// isRetryable reports whether err means that the source is alive and may have the
// chunk later.
func (d *download) isRetryable(err error) bool {
	inGracePeriod := time.Since(d.started) < d.fetcher.Timing.NotWantedGracePeriod
	return errors.Is(err, ErrNotReady) || errors.Is(err, ErrBusy) || (inGracePeriod && errors.Is(err, ErrNotWanted))
}

func (d *download) sources(index int) []topology.Source {
	if d.fetcher.Sources != nil {
		return d.fetcher.Sources(d.layout, index)
	}
	return d.layout.Sources(index)
}

// fetchFrom fetches a chunk from one source, verifies it and stores it.
func (d *download) fetchFrom(ctx context.Context, source topology.Source, request Request) error {
	digest := request.Chunk
	request.MaxBytes = d.manifest.ChunkBytes
	data, err := d.transfer(ctx, source, request)
	if err != nil {
		d.recordError(ctx, source, err)
		return err
	}
	err = d.fetcher.Store.Put(digest, data)
	if errors.Is(err, weights.ErrCorrupt) {
		d.recordCorruptChunk(source, digest)
		return err
	}
	d.failures.recordSuccess(source.Name())
	return err
}

func (d *download) transfer(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	switch source.Kind {
	case topology.Origin:
		d.fetcher.counters.OriginChunks.Add(1)
		return d.fetcher.FetchOrigin(ctx, request.Chunk)
	case topology.RemotePeer:
		if d.fetcher.ThinLinkDelay > 0 {
			return d.fetchSlices(ctx, source, request)
		}
		return d.fetchWholeRemote(ctx, source, request)
	default:
		return d.fetchWhole(ctx, source, request)
	}
}

func (d *download) fetchWhole(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	d.fetcher.counters.PeerRequests.Add(1)
	response, err := d.fetcher.FetchPeer(ctx, source.Peer, request)
	return response.Data, err
}

// fetchWholeRemote fetches a small chunk from another region in one request, once the
// source has it. The number of such requests in flight is limited, to keep the queue
// on the link between the regions short.
func (d *download) fetchWholeRemote(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	if err := d.awaitRemoteChunk(ctx, source, request); err != nil {
		return nil, err
	}
	limiter := d.fetcher.remoteChunkLimiter(source.Peer.Region)
	if err := limiter.Acquire(ctx); err != nil {
		return nil, err
	}
	defer limiter.Release()
	request.MaxWait = 0
	request.Length = d.manifest.ChunkBytes
	return d.fetchWhole(ctx, source, request)
}

func (d *download) recordError(ctx context.Context, source topology.Source, err error) {
	if errors.Is(err, ErrNotWanted) {
		// The peer responds immediately, so retrying without a delay would be a busy loop.
		concurrency.Sleep(ctx, d.fetcher.Timing.RetryDelay)
	}
	if ctx.Err() != nil || d.isRetryable(err) {
		return
	}
	if source.Kind == topology.Origin {
		d.failures.recordOriginFailure(source.Name())
	} else {
		d.failures.recordFailure(source.Name())
	}
	d.fetcher.Log.Emit(event.PeerExcluded, event.Fields{"peer": source.Name(), "error": err.Error()})
}

func (d *download) recordCorruptChunk(source topology.Source, digest weights.Digest) {
	d.fetcher.counters.CorruptChunks.Add(1)
	d.fetcher.Log.Emit(event.ChunkCorrupt, event.Fields{"peer": source.Name(), "chunk": digest.String()})
	if d.failures.recordCorruptChunk(source.Name()) {
		d.fetcher.Log.Emit(event.PeerExcluded, event.Fields{"peer": source.Name(), "error": "too many corrupt chunks"})
	}
}
