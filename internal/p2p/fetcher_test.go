package p2p_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// cluster is a set of in-process fetchers that call each other directly: a request takes
// 1 ms, whatever its size.
type cluster struct {
	manifest *weights.Manifest
	chunks   map[weights.Digest][]byte
	fetchers map[string]*p2p.Fetcher
	members  []membership.Instance
}

func newCluster(t *testing.T, count, regions, chunks int) *cluster {
	t.Helper()
	c := &cluster{chunks: map[weights.Digest][]byte{}, fetchers: map[string]*p2p.Fetcher{}}
	var digests []weights.Digest
	for index := range chunks {
		data := fmt.Appendf(nil, "chunk %08d", index)
		digests = append(digests, weights.Sum(data))
		c.chunks[weights.Sum(data)] = data
	}
	manifest, _, err := weights.NewManifest("draft", "2", len("chunk 00000000"), digests)
	if err != nil {
		t.Fatal(err)
	}
	c.manifest = manifest
	for index := range count {
		member := membership.Instance{Name: fmt.Sprintf("node-%02d", index), Region: fmt.Sprintf("region-%d", index%regions)}
		c.members = append(c.members, member)
		store := weights.NewStore(bytesize.MiB)
		if err := store.Pin(manifest); err != nil {
			t.Fatal(err)
		}
		c.fetchers[member.Name] = &p2p.Fetcher{
			Self: member, HomeRegion: "region-0", FanOut: 8, Store: store, Log: event.Discard(), Timing: p2p.FastTiming(),
			FetchPeer: func(ctx context.Context, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
				time.Sleep(time.Millisecond)
				response, err := c.fetchers[peer.Name].Serve(ctx, request)
				if err == nil {
					response.Release()
				}
				return response, err
			},
			FetchOrigin: func(_ context.Context, chunk weights.Digest) ([]byte, error) {
				time.Sleep(time.Millisecond)
				return c.chunks[chunk], nil
			},
		}
	}
	return c
}

// After a restart, instances discover each other one by one. Instances with different
// member lists may compute layouts in which they all wait for each other; every
// instance must still receive the set.
func TestFetchWithDifferentMemberLists(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			c := newCluster(t, 12, 3, 24)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			group := concurrency.NewGroup(ctx)
			for _, fetcher := range c.fetchers {
				members := []membership.Instance{fetcher.Self}
				for _, member := range c.members {
					if member.Name != fetcher.Self.Name && random.IntN(3) == 0 {
						members = append(members, member)
					}
				}
				group.Go(func(ctx context.Context) {
					if err := fetcher.Fetch(ctx, c.manifest, members); err != nil {
						t.Errorf("seed %d: %s lacks %d chunks after 10 s: %v", seed, fetcher.Self.Name, fetcher.Store.Missing(c.manifest), err)
					}
				})
			}
			group.Wait()
		})
	}
}

// When the origin recovers from an outage, the missing chunks must be fetched within a
// second, however many requests to it failed during the outage.
func TestFetchResumesAfterOriginOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 24)
		start := time.Now()
		const outage = 4 * time.Second
		for _, fetcher := range c.fetchers {
			fetchOrigin := fetcher.FetchOrigin
			fetcher.FetchOrigin = func(ctx context.Context, chunk weights.Digest) ([]byte, error) {
				if time.Since(start) < outage {
					return nil, errors.New("connection refused")
				}
				return fetchOrigin(ctx, chunk)
			}
		}
		group := concurrency.NewGroup(t.Context())
		for _, fetcher := range c.fetchers {
			group.Go(func(ctx context.Context) { _ = fetcher.Fetch(ctx, c.manifest, c.members) })
		}
		group.Wait()
		if elapsed := time.Since(start) - outage; elapsed > time.Second {
			t.Errorf("all instances had the set %s after the origin recovered, want at most 1s", elapsed)
		}
	})
}
