package p2p

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/bandwidth"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/topology"
)

// linkTable holds the rate controllers and the limiters of the links from the other
// regions, by region.
type linkTable struct {
	mu          sync.Mutex
	controllers map[string]linkController
	// chunkLimiters limit the number of whole chunks in flight from a region.
	chunkLimiters map[string]*concurrency.Semaphore
}

// maxRemoteChunks is the maximum number of whole chunks that an instance has in flight
// from one other region.
const maxRemoteChunks = 2

// remoteChunkLimiter returns the limiter for fetching whole chunks from another region.
func (f *Fetcher) remoteChunkLimiter(region string) *concurrency.Semaphore {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.chunkLimiters == nil {
		f.links.chunkLimiters = map[string]*concurrency.Semaphore{}
	}
	if f.links.chunkLimiters[region] == nil {
		f.links.chunkLimiters[region] = &concurrency.Semaphore{Limit: maxRemoteChunks}
	}
	return f.links.chunkLimiters[region]
}

// maxSlicesInFlight is the number of slices of sliceBytes that a region has in flight on one
// link. It is divided among the instances of the region that use the link.
const maxSlicesInFlight = 8

// linkController is the rate controller of a link and the number of instances among which it
// divides the slices in flight.
type linkController struct {
	*bandwidth.Controller
	sharers int
}

// linkController returns the rate controller of the link from another region. sharers is
// the number of instances that use the link at the same time.
func (f *Fetcher) linkController(region string, sharers int) *bandwidth.Controller {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.controllers == nil {
		f.links.controllers = map[string]linkController{}
	}
	existing := f.links.controllers[region]
	if existing.Controller == nil || existing.sharers != sharers {
		existing = linkController{sharers: sharers, Controller: &bandwidth.Controller{
			Target: f.ThinLinkDelay, RateScale: f.SizeScale, InFlight: concurrency.Semaphore{Limit: max(1, maxSlicesInFlight/sharers)},
		}}
		f.links.controllers[region] = existing
	}
	return existing.Controller
}

// sliceBytes returns the slice size, scaled by SizeScale. More than maxSlicesInFlight sharers
// have smaller slices, so that the region has no more bytes in flight.
func (f *Fetcher) sliceBytes(sharers int) int {
	bytes := sliceBytes * maxSlicesInFlight / max(maxSlicesInFlight, sharers)
	if f.SizeScale != 0 {
		bytes = int(float64(bytes) * f.SizeScale)
	}
	return max(1, bytes)
}

// fetchSlices fetches a chunk from another region in rate-limited slices, so that live
// traffic is never queued behind a whole chunk.
func (d *download) fetchSlices(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	sharers := d.layout.Stripes()
	controller := d.fetcher.linkController(source.Peer.Region, sharers)
	request.Length = d.fetcher.sliceBytes(sharers)
	if err := d.awaitRemoteChunk(ctx, source, request); err != nil {
		return nil, err
	}
	request.MaxWait = 0
	var data []byte
	for {
		response, err := d.fetchSlice(ctx, controller, source, request)
		if err != nil {
			return nil, err
		}
		if data == nil {
			data = make([]byte, 0, response.Total)
		}
		data = append(data, response.Data...)
		if len(data) >= response.Total || len(response.Data) == 0 {
			return data, nil
		}
		request.Offset = len(data)
	}
}

// probeBytes is the size of the slice that is requested to check whether the peer has a
// chunk.
const probeBytes = 1

// awaitRemoteChunk waits, for at most the request's MaxWait, until the source has the
// chunk. It requests a single byte outside the link's limits, so that waiting does not
// block other transfers.
func (d *download) awaitRemoteChunk(ctx context.Context, source topology.Source, request Request) error {
	request.Length = probeBytes
	d.fetcher.counters.PeerRequests.Add(1)
	_, err := d.fetcher.FetchPeer(ctx, source.Peer, request)
	return err
}

func (d *download) fetchSlice(ctx context.Context, controller *bandwidth.Controller, source topology.Source, request Request) (Response, error) {
	var response Response
	err := controller.Send(ctx, request.Length, func() (time.Duration, error) {
		d.fetcher.counters.PeerRequests.Add(1)
		start := time.Now()
		var err error
		response, err = d.fetcher.FetchPeer(ctx, source.Peer, request)
		if err != nil && !errors.Is(err, ErrNotReady) {
			return -1, err
		}
		return time.Since(start) - response.Waited, err
	})
	return response, err
}
