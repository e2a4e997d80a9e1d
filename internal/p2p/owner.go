package p2p

import (
	"context"

	"github.com/mimosaward/mimosaward/internal/topology"
)

// fetchViaOwner gets a chunk that does not arrive by the layout, as when instances know
// different members and wait for each other. All instances of a region turn to the same
// one for it, its keeper; the keepers of other regions turn to that of the home region,
// and that one to the origin. So the origin still sends each chunk about once.
func (b *download) fetchViaOwner(ctx context.Context, index int) {
	digest := b.manifest.Chunks()[index]
	owners := b.layout.Owners(digest.String())
	for _, owner := range owners {
		if b.failures.isExcluded(owner.Name()) {
			continue
		}
		if owner.Peer.Name == b.fetcher.Self.Name {
			b.fetchFromUpstream(ctx, index)
			return
		}
		request := Request{Chunk: digest, MaxWait: b.fetcher.Timing.MaxWait, FetchAsOwner: true}
		if err := b.fetchFrom(ctx, owner, request); err == nil || b.isRetryable(err) {
			return
		}
	}
	b.fetchFromUpstream(ctx, index)
}

// fetchFromUpstream gets a chunk from outside the region.
func (b *download) fetchFromUpstream(ctx context.Context, index int) {
	digest := b.manifest.Chunks()[index]
	for _, source := range b.layout.UpstreamOwners(digest.String()) {
		if b.failures.isExcluded(source.Name()) {
			continue
		}
		request := Request{Chunk: digest, MaxWait: b.fetcher.Timing.MaxWait, FetchAsOwner: source.Kind != topology.Origin}
		if err := b.fetchFrom(ctx, source, request); err == nil || b.isRetryable(err) {
			return
		}
	}
}
