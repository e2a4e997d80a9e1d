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

// linkTable holds the pace controller of the link from each other region.
type linkTable struct {
	mu          sync.Mutex
	controllers map[string]*bandwidth.Controller
	// chunkLimiters bound the whole chunks in flight from each other region.
	chunkLimiters map[string]*concurrency.Turn
}

// maxRemoteChunks is the number of whole chunks that an instance has in flight from one
// other region.
const maxRemoteChunks = 2

// remoteChunkLimiter returns the turn that a whole chunk from another region takes.
func (f *Fetcher) remoteChunkLimiter(region string) *concurrency.Turn {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.chunkLimiters == nil {
		f.links.chunkLimiters = map[string]*concurrency.Turn{}
	}
	if f.links.chunkLimiters[region] == nil {
		f.links.chunkLimiters[region] = &concurrency.Turn{Slots: maxRemoteChunks}
	}
	return f.links.chunkLimiters[region]
}

// maxSlicesInFlight is the number of slices that a region has in flight on one
// link; its instances share it.
const maxSlicesInFlight = 8

// linkController returns the controller of the linkController from another region. Sharers is the
// number of instances that use the linkController at the same time.
func (f *Fetcher) linkController(region string, sharers int) *bandwidth.Controller {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.controllers == nil {
		f.links.controllers = map[string]*bandwidth.Controller{}
	}
	controller := f.links.controllers[region]
	if controller == nil {
		controller = &bandwidth.Controller{Target: f.ThinLinkDelay, Unit: f.SizeScale, InFlight: concurrency.Turn{Slots: maxSlicesInFlight / sharers}}
		f.links.controllers[region] = controller
	}
	return controller
}

func (f *Fetcher) sliceBytes() int {
	if f.SizeScale == 0 {
		return sliceBytes
	}
	return max(1, int(sliceBytes*f.SizeScale))
}

// fetchSlices gets a chunk over a thin link in paced slices, so that live
// traffic never waits behind a whole chunk.
func (d *download) fetchSlices(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	controller := d.fetcher.linkController(source.Peer.Region, d.layout.Stripes())
	request.Length = d.fetcher.sliceBytes()
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

// probeBytes is the size of the slice that only asks whether a chunk is there.
const probeBytes = 1

// awaitRemoteChunk waits until the source has the chunk. It asks for a single byte, so
// that the waiting does not keep the link's turn.
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
		if err != nil && !errors.Is(err, ErrNotYet) {
			return -1, err
		}
		return time.Since(start) - response.Waited, err
	})
	return response, err
}
