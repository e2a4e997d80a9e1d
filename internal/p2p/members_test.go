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

// swarmOf is a set of instances without links between them: transfers take no time.
type swarmOf struct {
	manifest *weights.Manifest
	chunks   map[weights.Digest][]byte
	fetchers map[string]*p2p.Fetcher
	members  []membership.Instance
}

func newSwarm(t *testing.T, count, regions, chunks int) *swarmOf {
	t.Helper()
	s := &swarmOf{chunks: map[weights.Digest][]byte{}, fetchers: map[string]*p2p.Fetcher{}}
	var digests []weights.Digest
	for index := range chunks {
		data := fmt.Appendf(nil, "chunk %08d", index)
		digests = append(digests, weights.Sum(data))
		s.chunks[weights.Sum(data)] = data
	}
	manifest, _, err := weights.NewManifest("draft", "2", len("chunk 00000000"), digests)
	if err != nil {
		t.Fatal(err)
	}
	s.manifest = manifest
	for index := range count {
		member := membership.Instance{Name: fmt.Sprintf("node-%02d", index), Region: fmt.Sprintf("region-%d", index%regions)}
		s.members = append(s.members, member)
		store := weights.NewStore(bytesize.MiB)
		if err := store.Pin(manifest); err != nil {
			t.Fatal(err)
		}
		s.fetchers[member.Name] = &p2p.Fetcher{
			Self: member, HomeRegion: "region-0", FanOut: 8, Store: store, Log: event.Discard(), Timing: p2p.FastTiming(),
			FetchPeer: func(ctx context.Context, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
				time.Sleep(time.Millisecond)
				answer, err := s.fetchers[peer.Name].Serve(ctx, request)
				if err == nil {
					answer.Release()
				}
				return answer, err
			},
			FetchOrigin: func(_ context.Context, chunk weights.Digest) ([]byte, error) {
				time.Sleep(time.Millisecond)
				return s.chunks[chunk], nil
			},
		}
	}
	return s
}

// Right after a restart instances learn of each other one by one. Those that know
// different members may all wait for each other; they must get the set all the same.
func TestInstancesThatKnowDifferentMembersDoNotWaitForever(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			s := newSwarm(t, 12, 3, 24)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			group := concurrency.NewGroup(ctx)
			for _, fetcher := range s.fetchers {
				known := []membership.Instance{fetcher.Self}
				for _, member := range s.members {
					if member.Name != fetcher.Self.Name && random.IntN(3) == 0 {
						known = append(known, member)
					}
				}
				group.Go(func(ctx context.Context) {
					if err := fetcher.Fetch(ctx, s.manifest, known); err != nil {
						t.Errorf("seed %d: %s lacks %d chunks after 10 s: %v", seed, fetcher.Self.Name, fetcher.Store.Missing(s.manifest), err)
					}
				})
			}
			group.Wait()
		})
	}
}

// When the origin is back after an outage, what is missing is fetched at once, however
// often it was asked in vain.
func TestOriginIsAskedSoonAfterItsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSwarm(t, 3, 1, 24)
		start := time.Now()
		const outage = 4 * time.Second
		for _, fetcher := range s.fetchers {
			working := fetcher.FetchOrigin
			fetcher.FetchOrigin = func(ctx context.Context, chunk weights.Digest) ([]byte, error) {
				if time.Since(start) < outage {
					return nil, errors.New("connection refused")
				}
				return working(ctx, chunk)
			}
		}
		group := concurrency.NewGroup(t.Context())
		for _, fetcher := range s.fetchers {
			group.Go(func(ctx context.Context) { _ = fetcher.Fetch(ctx, s.manifest, s.members) })
		}
		group.Wait()
		if took := time.Since(start) - outage; took > time.Second {
			t.Errorf("the set was everywhere %s after the origin's return, want at most 1s", took)
		}
	})
}
