package p2p_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
)

// highWaterMark is a number with the highest value that it had.
type highWaterMark struct {
	mu            sync.Mutex
	current, most int
}

func (h *highWaterMark) add(change int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current += change
	h.most = max(h.most, h.current)
}

// Guards against regions with more than 8 instances on a link that queue up to twice the
// intended bytes on it.
func TestBytesInFlightBetweenRegionsAreBounded(t *testing.T) {
	// At this scale, a slice has 8 bytes; a region may have 8 slices in flight.
	const sizeScale, maxInFlight = 8.0 / (8 << 10), 8 * 8
	for _, sharers := range []int{2, 8, 12, 16} {
		t.Run(fmt.Sprint(sharers, " instances"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 2*sharers, 2, 4*sharers)
				var inFlight highWaterMark
				group := concurrency.NewGroup(t.Context())
				for _, fetcher := range c.fetchers {
					fetcher.FanOut, fetcher.ThinLinkDelay, fetcher.SizeScale = sharers, 10*time.Millisecond, sizeScale
					fetchPeer, self := fetcher.FetchPeer, fetcher.Self
					fetcher.FetchPeer = func(ctx context.Context, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
						if peer.Region != self.Region && request.Length > 1 {
							inFlight.add(request.Length)
							defer inFlight.add(-request.Length)
							time.Sleep(200 * time.Millisecond)
						}
						return fetchPeer(ctx, peer, request)
					}
					group.Go(func(ctx context.Context) {
						if err := fetcher.Fetch(ctx, c.manifest, c.members); err != nil {
							t.Error(err)
						}
					})
				}
				group.Wait()
				if inFlight.most == 0 || inFlight.most > maxInFlight {
					t.Errorf("up to %d bytes were in flight between the regions, want 1 to %d", inFlight.most, maxInFlight)
				}
			})
		})
	}
}
