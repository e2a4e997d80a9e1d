package p2p

import (
	"context"

	"github.com/mimosaward/mimosaward/internal/topology"
)

// rescue gets a chunk that does not arrive by the layout, as when instances know
// different members and wait for each other. All instances of a region turn to the same
// one for it, its keeper; the keepers of other regions turn to that of the home region,
// and that one to the origin. So the origin still sends each chunk about once.
func (b *burst) rescue(ctx context.Context, index int) {
	digest := b.manifest.Chunks()[index]
	keepers := b.layout.Owners(digest.String())
	for _, keeper := range keepers {
		if b.suspects.excluded(keeper.Name()) {
			continue
		}
		if keeper.Peer.Name == b.fetcher.Self.Name {
			b.rescueFromUpstream(ctx, index)
			return
		}
		request := Request{Chunk: digest, MaxWait: b.fetcher.Timing.MaxWait, FetchAsOwner: true}
		if err := b.fetchFrom(ctx, keeper, request); err == nil || b.mayHaveLater(err) {
			return
		}
	}
	b.rescueFromUpstream(ctx, index)
}

// rescueFromUpstream gets a chunk from outside the region.
func (b *burst) rescueFromUpstream(ctx context.Context, index int) {
	digest := b.manifest.Chunks()[index]
	for _, source := range b.layout.UpstreamOwners(digest.String()) {
		if b.suspects.excluded(source.Name()) {
			continue
		}
		request := Request{Chunk: digest, MaxWait: b.fetcher.Timing.MaxWait, FetchAsOwner: source.Kind != topology.Origin}
		if err := b.fetchFrom(ctx, source, request); err == nil || b.mayHaveLater(err) {
			return
		}
	}
}
