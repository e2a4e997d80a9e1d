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

// thinLink is one direction of an inter-region link. shadow is a copy of the link
// that carries only the live traffic; the difference between the two is the delay
// that weights add.
type thinLink struct {
	link    *fakes.Link
	shadow  *fakes.Link
	weights int64
	mu      sync.Mutex
	delays  []time.Duration
}

// stallTimeout is the time after which the transport aborts a transfer over a
// stalled link.
const stallTimeout = 3 * time.Second

func (b *burstBench) fetchPeer(ctx context.Context, self, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
	server, client := b.nodes[peer.Name], b.nodes[self.Name]
	thin := b.thin[[2]string{peer.Region, self.Region}]
	if thin != nil {
		concurrency.Sleep(ctx, 2*time.Millisecond)
	}
	if server.alive.Err() != nil {
		return p2p.Response{}, p2p.ErrUnreachable
	}
	if b.c.wholeFile && server.fetcher.Store.Missing(b.manifest) > 0 {
		concurrency.Sleep(ctx, request.MaxWait)
		return p2p.Response{}, p2p.ErrNotYet
	}
	answer, err := server.fetcher.Serve(ctx, request)
	if err != nil {
		return p2p.Response{}, err
	}
	defer answer.Release()
	if thin != nil {
		if thin.link.Stalled() {
			concurrency.Sleep(ctx, stallTimeout)
			return p2p.Response{}, p2p.ErrUnreachable
		}
		start := time.Now()
		_ = client.paceDown.WaitSlice(ctx, len(answer.Data))
		_ = server.paceUp.WaitSlice(ctx, len(answer.Data))
		answer.Waited += time.Since(start)
		fakes.SendSlice(ctx, server.up, thin.link, client.down, len(answer.Data))
		thin.mu.Lock()
		thin.weights += int64(len(answer.Data))
		thin.mu.Unlock()
	} else {
		b.sendChunk(ctx, server.up, server.paceUp, client, len(answer.Data))
	}
	if server.alive.Err() != nil {
		return p2p.Response{}, p2p.ErrUnreachable
	}
	return b.corrupt(answer), ctx.Err()
}

// pieceTime is the transfer time of one piece of a chunk on an instance's link.
const pieceTime = 5 * time.Millisecond

// sendChunk transfers a chunk to an instance: in one transfer, or, if the case is
// paced, in pieces that wait for the rate limiters of both ends.
func (b *burstBench) sendChunk(ctx context.Context, up *fakes.Link, paceUp *bandwidth.Link, client *burstNode, bytes int) {
	if !b.c.paced {
		fakes.SendChunk(ctx, up, client.down, bytes)
		return
	}
	piece := max(1, int(client.down.Rate*pieceTime.Seconds()))
	for left := bytes; left > 0 && ctx.Err() == nil; left -= piece {
		next := min(piece, left)
		_ = client.paceDown.WaitChunk(ctx, next)
		_ = paceUp.WaitChunk(ctx, next)
		fakes.SendChunk(ctx, up, client.down, next)
	}
}

// liveTraffic sends packet trains at random times and records the delay that
// weights add to each of them.
func (l *thinLink) liveTraffic(ctx context.Context, random *rand.Rand) {
	const train = 4 << 10 * unit
	rate := thinRate * unit * liveShare / train
	for ctx.Err() == nil {
		concurrency.Sleep(ctx, time.Duration(random.ExpFloat64()/rate*float64(time.Second)))
		_, end := l.link.Reserve(train)
		_, alone := l.shadow.Reserve(train)
		if !l.link.Stalled() {
			l.delays = append(l.delays, end.Sub(alone))
		}
	}
}

// liveRequests samples, at random times, how long a packet of live traffic would
// wait behind weights on the links of every instance.
func (b *burstBench) liveRequests(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		concurrency.Sleep(ctx, time.Duration(random.ExpFloat64()*float64(instanceProbe)))
		for _, node := range b.nodes {
			b.linkDelays = append(b.linkDelays, max(node.up.Backlog(), node.down.Backlog()))
		}
	}
}

// instanceProbe is the mean interval between two samples of the instances' links.
const instanceProbe = 100 * time.Millisecond
