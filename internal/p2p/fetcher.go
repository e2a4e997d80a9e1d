// Package p2p transfers chunks between instances: it fetches the wanted weight set
// from the sources that package topology selects, and serves chunks to other
// instances. The caller provides the transport as functions.
package p2p

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/topology"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// preferredTimeoutFactor is the number of average chunk times that a worker waits
	// for its preferred source.
	preferredTimeoutFactor = 6
	// averageWindow is the inverse of the weight of a new sample in the moving average.
	averageWindow = 8
	// A stripe lags when its queue is more than lagChunks longer than lagFactor times
	// the median length.
	lagFactor = 2
	lagChunks = 2
	// bestEffortDivisor sets the limit for best-effort requests: they are rejected while
	// FanOut/bestEffortDivisor or more uploads are active, and at least one.
	bestEffortDivisor = 2
	// delegatedWorkers is the number of workers that fetch chunks on behalf of other
	// instances, as a replacement for a lost root or as the chunks' owner.
	// delegatedQueueSize is the maximum number of such chunks that are queued.
	delegatedWorkers   = 2
	delegatedQueueSize = 64
	// minWorkersPerStripe is the minimum number of chunks of a stripe that are fetched
	// concurrently. A region with few stripes has more workers for each, so that the
	// latency of a link between regions does not limit the throughput of its roots.
	minWorkersPerStripe = 2
	// sliceBytes is the size of one paced request over a link between regions.
	sliceBytes = 8 << 10
)

// SourcesFunc returns the sources of a chunk in order of preference.
type SourcesFunc func(layout *topology.Layout, chunk int) []topology.Source

// Fetcher fetches weight sets, one at a time. Set the exported fields before calling
// Fetch. Serve may be called concurrently with Fetch.
type Fetcher struct {
	Self       membership.Instance
	HomeRegion string
	FanOut     int
	Store      *weights.Store
	Log        *event.Logger
	// ThinLinkDelay is the queueing delay that weight transfers may add on a link between
	// regions. At 0, chunks are small enough to be sent over such a link whole.
	ThinLinkDelay time.Duration
	// FetchPeer sends a request to a peer. It returns ErrNotReady, ErrBusy, ErrNotWanted,
	// ErrNotParticipating or ErrUnreachable on failure.
	FetchPeer func(ctx context.Context, peer membership.Instance, request Request) (Response, error)
	// FetchOrigin fetches a whole chunk from the origin.
	FetchOrigin func(ctx context.Context, chunk weights.Digest) ([]byte, error)
	// JoinedLate is true if other instances started to fetch the set some time ago.
	JoinedLate bool
	// Timing sets the timeouts and intervals; the zero value means DefaultTiming.
	Timing Timing
	// Sources selects the sources of each chunk; nil means topology.Layout.Sources.
	Sources SourcesFunc
	// SizeScale scales slice sizes and rates in tests whose chunks are smaller than real
	// ones; 0 means 1.
	SizeScale float64

	failures atomic.Pointer[failureTracker]
	download atomic.Pointer[download]
	// activeUploads is the number of responses that are being sent.
	activeUploads atomic.Int64
	links         linkTable
	counters      Counters
}

// Counters counts the requests, transfers and corrupt chunks of a fetcher.
type Counters struct {
	PeerRequests  atomic.Int64
	OriginChunks  atomic.Int64
	CorruptChunks atomic.Int64
}

// Counters returns the counters, which the fetcher continues to update.
func (f *Fetcher) Counters() *Counters { return &f.counters }

// Fetch fetches the missing chunks of the pinned manifest. It returns when all are in
// the store, the manifest is unpinned or ctx ends. members are the instances that
// fetch the same set.
func (f *Fetcher) Fetch(ctx context.Context, manifest *weights.Manifest, members []membership.Instance) error {
	if f.Timing == (Timing{}) {
		f.Timing = DefaultTiming()
	}
	f.failures.CompareAndSwap(nil, newFailureTracker(f.Timing))
	current := &download{
		fetcher:  f,
		manifest: manifest,
		failures: f.failures.Load(),
		layout:   topology.NewLayout(manifest.Model+"@"+manifest.Version, f.Self, members, f.HomeRegion, f.FanOut),
	}
	current.prepare()
	f.download.Store(current)
	defer f.download.CompareAndSwap(current, nil)
	group := concurrency.NewGroup(ctx)
	current.rootFetches.start(ctx, f.Store.Has)
	current.ownerFetches.start(ctx, f.Store.Has)
	for stripe := range current.layout.Stripes() {
		for range max(minWorkersPerStripe, f.Timing.Workers/current.layout.Stripes()) {
			group.Go(func(ctx context.Context) { current.work(ctx, stripe) })
		}
	}
	group.Wait()
	current.rootFetches.stop()
	current.ownerFetches.stop()
	if err := ctx.Err(); err != nil {
		return errors.Wrapf(err, "fetch weight set %s", manifest.Digest())
	}
	return nil
}

// Serve handles a request of another instance for a chunk or a slice of it. The caller
// must call Release of the response.
func (f *Fetcher) Serve(ctx context.Context, request Request) (Response, error) {
	start := time.Now()
	if request.BestEffort && f.activeUploads.Load() >= int64(max(1, f.FanOut/bestEffortDivisor)) {
		return Response{}, ErrBusy
	}
	if current := f.download.Load(); current != nil {
		switch {
		case request.FetchAsRoot:
			current.rootFetches.enqueue(request.Chunk)
		case request.FetchAsOwner:
			current.ownerFetches.enqueue(request.Chunk)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, max(request.MaxWait, time.Millisecond))
	defer cancel()
	data, err := f.Store.Get(ctx, request.Chunk)
	switch {
	case errors.Is(err, weights.ErrNotPinned):
		return Response{}, ErrNotWanted
	case err != nil:
		return Response{}, ErrNotReady
	}
	begin := min(max(request.Offset, 0), len(data))
	end := len(data)
	if request.Length > 0 {
		end = min(begin+request.Length, len(data))
	}
	f.activeUploads.Add(1)
	return Response{Data: data[begin:end], Total: len(data), Waited: time.Since(start), Release: f.releaseUpload}, nil
}

func (f *Fetcher) releaseUpload() { f.activeUploads.Add(-1) }
