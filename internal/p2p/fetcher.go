// Package p2p transfers chunks between instances: it fetches the wanted weight
// set from the sources that package topology chooses, and serves chunks to other
// instances. The transport is given as functions.
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
	// preferredTimeoutFactor is the number of usual chunk times that a worker waits for
	// its preferred source.
	preferredTimeoutFactor = 6
	// averageWindow is the weight of the past in the moving average.
	averageWindow = 8
	// A stripe lags when it has more than lagFactor times the median number of
	// chunks left, and lagChunks more.
	lagFactor = 2
	lagChunks = 2
	// bestEffortDivisor is the part of the children's uploads at which an instance
	// serves no others.
	bestEffortDivisor = 2
	// delegatedWorkers fetch chunks that other instances asked for because the
	// root for them is gone; takeOverRing bounds those that wait.
	delegatedWorkers   = 2
	delegatedQueueSize = 64
	// minWorkersPerStripe is the least number of chunks of a stripe fetched at a
	// time. A region with few stripes has more for each, so that the latency of a
	// thin link does not bound its roots.
	minWorkersPerStripe = 2
	// sliceBytes is the size of one request over a thin link.
	sliceBytes = 8 << 10
)

// SourcesFunc returns where to get a chunk, the preferred source first.
type SourcesFunc func(layout *topology.Layout, chunk int) []topology.Source

// Fetcher fetches weight sets, one at a time. Set the exported fields before
// Fetch; Serve may run at the same time.
type Fetcher struct {
	Self       membership.Instance
	HomeRegion string
	FanOut     int
	Store      *weights.Store
	Log        *event.Logger
	// ThinLinkDelay is the queueing delay that weights may add on a link between
	// regions. At 0, chunks are so small that they cross such a link whole.
	ThinLinkDelay time.Duration
	// FetchPeer asks a peer, and returns ErrNotYet, ErrBusy, ErrNotWanted, ErrAbsent
	// or ErrStalled.
	FetchPeer func(ctx context.Context, peer membership.Instance, request Request) (Response, error)
	// FetchOrigin asks the origin for a whole chunk.
	FetchOrigin func(ctx context.Context, chunk weights.Digest) ([]byte, error)
	// JoinedLate is true if other instances began the burst some time ago.
	JoinedLate bool
	// Timing holds the waits; zero means MinuteTiming.
	Timing Timing
	// Sources chooses the sources; nil means topology.Layout.Sources.
	Sources SourcesFunc
	// SizeScale scales sizes in tests whose chunks are smaller than real ones.
	SizeScale float64

	failures atomic.Pointer[failureTracker]
	download atomic.Pointer[download]
	// activeUploads counts the answers that are being sent.
	activeUploads atomic.Int64
	links         linkTable
	counters      Counters
}

// Counters count what a fetcher did.
type Counters struct {
	PeerRequests  atomic.Int64
	OriginChunks  atomic.Int64
	CorruptChunks atomic.Int64
}

// Counters returns the live counters.
func (f *Fetcher) Counters() *Counters { return &f.counters }

// Fetch returns when every chunk of the pinned manifest is held, or when ctx
// ends. Members are the instances that want the same set.
func (f *Fetcher) Fetch(ctx context.Context, manifest *weights.Manifest, members []membership.Instance) error {
	if f.Timing == (Timing{}) {
		f.Timing = DefaultTiming()
	}
	f.failures.CompareAndSwap(nil, newFailureTracker(f.Timing))
	current := &download{
		fetcher:  f,
		manifest: manifest,
		failures: f.failures.Load(),
		layout:   topology.NewLayout(manifest.Digest().String(), f.Self, members, f.HomeRegion, f.FanOut),
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

// Serve returns a chunk or a slice of it to another instance. The caller must
// call Sent of the answer.
func (f *Fetcher) Serve(ctx context.Context, request Request) (Response, error) {
	start := time.Now()
	if request.BestEffort && f.activeUploads.Load() >= int64(f.FanOut/bestEffortDivisor) {
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
	case errors.Is(err, weights.ErrNotWanted):
		return Response{}, ErrNotWanted
	case err != nil:
		return Response{}, ErrNotYet
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
