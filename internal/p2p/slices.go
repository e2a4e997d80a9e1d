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
	mu    sync.Mutex
	links map[string]*bandwidth.Controller
	// turns bound the whole chunks in flight from each other region.
	turns map[string]*concurrency.Turn
}

// farInFlight is the number of whole chunks that an instance has in flight from one
// other region.
const farInFlight = 2

// farTurn returns the turn that a whole chunk from another region takes.
func (f *Fetcher) farTurn(region string) *concurrency.Turn {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.turns == nil {
		f.links.turns = map[string]*concurrency.Turn{}
	}
	if f.links.turns[region] == nil {
		f.links.turns[region] = &concurrency.Turn{Slots: farInFlight}
	}
	return f.links.turns[region]
}

// slicesInFlight is the number of slices that a region has in flight on one
// link; its instances share it.
const slicesInFlight = 8

// link returns the controller of the link from another region. Sharers is the
// number of instances that use the link at the same time.
func (f *Fetcher) link(region string, sharers int) *bandwidth.Controller {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	if f.links.links == nil {
		f.links.links = map[string]*bandwidth.Controller{}
	}
	held := f.links.links[region]
	if held == nil {
		held = &bandwidth.Controller{Target: f.ThinLinkDelay, RateScale: f.Unit, InFlight: concurrency.Turn{Slots: slicesInFlight / sharers}}
		f.links.links[region] = held
	}
	return held
}

func (f *Fetcher) sliceBytes() int {
	if f.Unit == 0 {
		return sliceBytes
	}
	return max(1, int(sliceBytes*f.Unit))
}

// fetchSlices gets a chunk over a thin link in paced slices, so that live
// traffic never waits behind a whole chunk.
func (b *burst) fetchSlices(ctx context.Context, source topology.Source, request Request) ([]byte, error) {
	link := b.fetcher.link(source.Peer.Region, b.layout.Stripes())
	request.Length = b.fetcher.sliceBytes()
	if err := b.awaitFar(ctx, source, request); err != nil {
		return nil, err
	}
	request.Hold = 0
	var data []byte
	for {
		answer, err := b.fetchSlice(ctx, link, source, request)
		if err != nil {
			return nil, err
		}
		if data == nil {
			data = make([]byte, 0, answer.Total)
		}
		data = append(data, answer.Data...)
		if len(data) >= answer.Total || len(answer.Data) == 0 {
			return data, nil
		}
		request.Offset = len(data)
	}
}

// probeBytes is the size of the slice that only asks whether a chunk is there.
const probeBytes = 1

// awaitFar waits until the source has the chunk. It asks for a single byte, so
// that the waiting does not keep the link's turn.
func (b *burst) awaitFar(ctx context.Context, source topology.Source, request Request) error {
	request.Length = probeBytes
	b.fetcher.counters.PeerRequests.Add(1)
	_, err := b.fetcher.FetchPeer(ctx, source.Peer, request)
	return err
}

func (b *burst) fetchSlice(ctx context.Context, link *bandwidth.Controller, source topology.Source, request Request) (Answer, error) {
	var answer Answer
	err := link.Send(ctx, request.Length, func() (time.Duration, error) {
		b.fetcher.counters.PeerRequests.Add(1)
		start := time.Now()
		var err error
		answer, err = b.fetcher.FetchPeer(ctx, source.Peer, request)
		if err != nil && !errors.Is(err, ErrNotYet) {
			return -1, err
		}
		return time.Since(start) - answer.Waited, err
	})
	return answer, err
}
