package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/bandwidth"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
)

// interRegionLink is one direction of an inter-region link. liveOnly is a copy of the
// link that carries only the live traffic; the difference between the two is the
// delay that weights add.
type interRegionLink struct {
	link        *fakes.Link
	liveOnly    *fakes.Link
	weightBytes int64
	mu          sync.Mutex
	delays      []time.Duration
}

// stallTimeout is the time after which the transport aborts a transfer over a
// stalled link.
const stallTimeout = 3 * time.Second

func (b *burstBench) fetchPeer(ctx context.Context, self, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
	server, client := b.nodes[peer.Name], b.nodes[self.Name]
	interRegion := b.interRegion[[2]string{peer.Region, self.Region}]
	if interRegion != nil {
		concurrency.Sleep(ctx, 2*time.Millisecond)
	}
	if server.ctx.Err() != nil {
		return p2p.Response{}, p2p.ErrUnreachable
	}
	if b.config.storeAndForward && server.fetcher.Store.Missing(b.manifest) > 0 {
		concurrency.Sleep(ctx, request.MaxWait)
		return p2p.Response{}, p2p.ErrNotReady
	}
	response, err := server.fetcher.Serve(ctx, request)
	if err != nil {
		return p2p.Response{}, err
	}
	defer response.Release()
	if interRegion != nil {
		if interRegion.link.Stalled() {
			concurrency.Sleep(ctx, stallTimeout)
			return p2p.Response{}, p2p.ErrUnreachable
		}
		start := time.Now()
		_ = client.downlinkLimiter.WaitSlice(ctx, len(response.Data))
		_ = server.uplinkLimiter.WaitSlice(ctx, len(response.Data))
		response.Waited += time.Since(start)
		fakes.SendSlice(ctx, server.uplink, interRegion.link, client.downlink, len(response.Data))
		interRegion.mu.Lock()
		interRegion.weightBytes += int64(len(response.Data))
		interRegion.mu.Unlock()
	} else {
		b.sendChunk(ctx, server.uplink, server.uplinkLimiter, client, len(response.Data))
	}
	if server.ctx.Err() != nil {
		return p2p.Response{}, p2p.ErrUnreachable
	}
	return b.corrupt(response), ctx.Err()
}

// pieceTime is the transfer time of one piece of a chunk on an instance's link.
const pieceTime = 5 * time.Millisecond

// sendChunk transfers a chunk to an instance: in one transfer, or, if the case is
// rate-limited, in pieces that wait for the rate limiters of both ends.
func (b *burstBench) sendChunk(ctx context.Context, uplink *fakes.Link, uplinkLimiter *bandwidth.Link, client *burstNode, bytes int) {
	if !b.config.rateLimited {
		fakes.SendChunk(ctx, uplink, client.downlink, bytes)
		return
	}
	piece := max(1, int(client.downlink.Rate*pieceTime.Seconds()))
	for remaining := bytes; remaining > 0 && ctx.Err() == nil; remaining -= piece {
		size := min(piece, remaining)
		_ = client.downlinkLimiter.WaitChunk(ctx, size)
		_ = uplinkLimiter.WaitChunk(ctx, size)
		fakes.SendChunk(ctx, uplink, client.downlink, size)
	}
}

// liveTraffic sends packet trains at random times and records the delay that
// weights add to each of them.
func (l *interRegionLink) liveTraffic(ctx context.Context, random *rand.Rand) {
	const train = 4 << 10 * sizeScale
	rate := interRegionRate * sizeScale * liveShare / train
	for ctx.Err() == nil {
		concurrency.Sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
		_, end := l.link.Reserve(train)
		_, liveOnlyEnd := l.liveOnly.Reserve(train)
		if !l.link.Stalled() {
			l.delays = append(l.delays, end.Sub(liveOnlyEnd))
		}
	}
}

// liveRequests samples, at random times, how long a packet of live traffic would
// wait behind weights on the links of every instance.
func (b *burstBench) liveRequests(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		concurrency.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(samplingInterval)))
		for _, node := range b.nodes {
			b.linkDelays = append(b.linkDelays, max(node.uplink.Backlog(), node.downlink.Backlog()))
		}
	}
}

// samplingInterval is the mean interval between two samples of the instances' links.
const samplingInterval = 100 * time.Millisecond
