package bench

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/bandwidth"
	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// Parameters of a small set on slow links: 96 chunks of 24 KiB, links of 7.3 Mbit/s
// for instances and the origin, 20 Mbit/s between regions.
const (
	smallChunks          = 96
	smallChunkBytes      = 24 << 10
	smallLinkRate        = 7.3e6 / 8
	smallInterRegionRate = 20e6 / 8
	// smallDeadline is the deadline of a rollout: after it, no request may start on the
	// replaced weights.
	smallDeadline = 8 * time.Second
)

// smallBurst distributes a small set with real fetchers over fake links.
type smallBurst struct {
	manifest    *weights.Manifest
	content     map[weights.Digest][]byte
	origin      *fakes.Link
	interRegion map[[2]string]*fakes.Link
	nodes       map[string]*smallNode
}

type smallNode struct {
	fetcher         *p2p.Fetcher
	uplink          *fakes.Link
	downlink        *fakes.Link
	uplinkLimiter   *bandwidth.Link
	downlinkLimiter *bandwidth.Link
	// originDownloads limits the concurrent chunk downloads of the instance from the
	// origin.
	originDownloads concurrency.Semaphore
	finishedAfter   time.Duration
}

func newSmallBurst(t *testing.T, perRegion []int) (*smallBurst, []membership.Instance) {
	t.Helper()
	b := &smallBurst{
		content: map[weights.Digest][]byte{}, origin: &fakes.Link{Rate: smallLinkRate, Latency: time.Millisecond},
		interRegion: map[[2]string]*fakes.Link{}, nodes: map[string]*smallNode{},
	}
	var digests []weights.Digest
	for index := range smallChunks {
		data := make([]byte, smallChunkBytes)
		copy(data, fmt.Sprintf("chunk %d", index))
		digests = append(digests, weights.Sum(data))
		b.content[weights.Sum(data)] = data
	}
	manifest, _, err := weights.NewManifest("draft", "2", smallChunkBytes, digests)
	if err != nil {
		t.Fatal(err)
	}
	b.manifest = manifest
	var members []membership.Instance
	for region, count := range perRegion {
		for index := range count {
			name := fmt.Sprintf("region-%d", region)
			members = append(members, membership.Instance{Name: fmt.Sprintf("10.%d.0.%d", region, index), Region: name})
		}
		for other := range perRegion {
			b.interRegion[[2]string{fmt.Sprintf("region-%d", region), fmt.Sprintf("region-%d", other)}] = &fakes.Link{Rate: smallInterRegionRate, Latency: 2 * time.Millisecond}
		}
	}
	for _, member := range members {
		b.nodes[member.Name] = b.newNode(t, member)
	}
	return b, members
}

func (b *smallBurst) newNode(t *testing.T, self membership.Instance) *smallNode {
	t.Helper()
	store := weights.NewStore(bytesize.GiB)
	if err := store.Pin(b.manifest); err != nil {
		t.Fatal(err)
	}
	node := &smallNode{
		uplink: &fakes.Link{Rate: smallLinkRate}, downlink: &fakes.Link{Rate: smallLinkRate},
		uplinkLimiter: &bandwidth.Link{Rate: smallLinkRate}, downlinkLimiter: &bandwidth.Link{Rate: smallLinkRate},
		originDownloads: concurrency.Semaphore{Limit: 2},
	}
	node.fetcher = &p2p.Fetcher{
		Self: self, HomeRegion: "region-0", FanOut: 8, Store: store, Log: event.Discard(), Timing: p2p.FastTiming(),
		FetchPeer: func(ctx context.Context, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
			return b.fetchPeer(ctx, node, self, peer, request)
		},
		FetchOrigin: func(ctx context.Context, chunk weights.Digest) ([]byte, error) {
			if err := node.originDownloads.Acquire(ctx); err != nil {
				return nil, err
			}
			defer node.originDownloads.Release()
			fakes.SendChunk(ctx, b.origin, node.downlink, smallChunkBytes)
			return b.content[chunk], ctx.Err()
		},
	}
	return node
}

func (b *smallBurst) fetchPeer(ctx context.Context, client *smallNode, self, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
	server := b.nodes[peer.Name]
	concurrency.Sleep(ctx, time.Millisecond)
	response, err := server.fetcher.Serve(ctx, request)
	if err != nil {
		return p2p.Response{}, err
	}
	defer response.Release()
	if request.Length > 0 {
		_ = client.downlinkLimiter.WaitSlice(ctx, len(response.Data))
		_ = server.uplinkLimiter.WaitSlice(ctx, len(response.Data))
		fakes.SendSlice(ctx, server.uplink, b.interRegion[[2]string{peer.Region, self.Region}], client.downlink, len(response.Data))
		return response, ctx.Err()
	}
	for remaining := len(response.Data); remaining > 0 && ctx.Err() == nil; remaining -= bandwidth.BlockBytes {
		piece := min(bandwidth.BlockBytes, remaining)
		_ = client.downlinkLimiter.WaitChunk(ctx, piece)
		_ = server.uplinkLimiter.WaitChunk(ctx, piece)
		if peer.Region != self.Region {
			_, end := b.interRegion[[2]string{peer.Region, self.Region}].Reserve(piece)
			concurrency.Sleep(ctx, time.Until(end))
		}
		fakes.SendChunk(ctx, server.uplink, client.downlink, piece)
	}
	return response, ctx.Err()
}

// run returns the time until the last instance has the set, and the number of
// copies that the origin sent. The time is 4*smallDeadline if an instance never gets
// the set.
func (b *smallBurst) run(ctx context.Context, members []membership.Instance) (last time.Duration, copies float64) {
	ctx, cancel := context.WithTimeout(ctx, 4*smallDeadline)
	defer cancel()
	start := time.Now()
	group := concurrency.NewGroup(ctx)
	for _, member := range members {
		node := b.nodes[member.Name]
		group.Go(func(ctx context.Context) {
			if node.fetcher.Fetch(ctx, b.manifest, members) == nil {
				node.finishedAfter = max(time.Since(start), time.Nanosecond)
			}
		})
	}
	group.Wait()
	for _, node := range b.nodes {
		last = max(last, node.finishedAfter)
		if node.finishedAfter == 0 {
			last = 4 * smallDeadline
		}
	}
	return last, float64(b.origin.Bytes()) / float64(b.manifest.Bytes())
}

// After the last instance has the set, the engines still load it one after another;
// half of the deadline is reserved for that. The test guards against a distribution that
// uses more than the other half.
func TestSmallSetRolloutWithinHalfTheDeadline(t *testing.T) {
	for _, perRegion := range [][]int{{4, 4, 4}, {8, 6, 6}, {7, 7, 5}, {15, 15, 15}, {10, 10, 10, 10}} {
		t.Run(fmt.Sprint(perRegion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { requireSmallBurst(t, perRegion) })
		})
	}
}

func requireSmallBurst(t *testing.T, perRegion []int) {
	b, members := newSmallBurst(t, perRegion)
	last, copies := b.run(t.Context(), members)
	if last > smallDeadline/2 {
		t.Errorf("the last instance has the set after %s, want at most %s", last, smallDeadline/2)
	}
	if copies > 1.2 {
		t.Errorf("the origin sent %.2f copies, want about one", copies)
	}
}

// After a power loss, some instances still have the set staged. The test guards against
// downloading it from the origin again because the layout names an instance that lost
// it as the source.
func TestSetIsFetchedFromPeersThatStillHaveIt(t *testing.T) {
	for _, perRegion := range [][]int{{8, 7, 5}, {15, 15, 15}} {
		t.Run(fmt.Sprint(perRegion), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, members := newSmallBurst(t, perRegion)
				for index, member := range members {
					if member.Region == "region-0" && index > 0 {
						b.fill(t, member)
					}
				}
				last, copies := b.run(t.Context(), members)
				if last > smallDeadline/2 || copies > 0.5 {
					t.Errorf("the last instance has the set after %s, the origin sent %.2f copies; want at most %s and 0.5 copies", last, copies, smallDeadline/2)
				}
			})
		})
	}
}

// fill stores the complete set at an instance.
func (b *smallBurst) fill(t *testing.T, member membership.Instance) {
	t.Helper()
	for chunk, data := range b.content {
		if err := b.nodes[member.Name].fetcher.Store.Put(chunk, data); err != nil {
			t.Fatal(err)
		}
	}
}
