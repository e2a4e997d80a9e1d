package p2p

import (
	"context"

	"github.com/mimosaward/mimosaward/internal/topology"
)

// fetchViaOwner fetches a chunk that does not arrive from the layout's sources, for
// example because instances have different member lists and wait for each other. All
// instances of a region request it from the same instance, the chunk's owner. The owner
// in a region requests it from the owner in the home region, which fetches it from the
// origin, so that the origin still sends each chunk about once.
func (d *download) fetchViaOwner(ctx context.Context, index int) {
	digest := d.manifest.Chunks()[index]
	owners := d.layout.Owners(digest.String())
	for _, owner := range owners {
		if d.failures.isExcluded(owner.Name()) {
			continue
		}
		if owner.Peer.Name == d.fetcher.Self.Name {
			d.fetchFromUpstream(ctx, index)
			return
		}
		request := Request{Chunk: digest, MaxWait: d.fetcher.Timing.MaxWait, FetchAsOwner: true}
		if err := d.fetchFrom(ctx, owner, request); err == nil || d.isRetryable(err) {
			return
		}
	}
	d.fetchFromUpstream(ctx, index)
}

// fetchFromUpstream tries once to fetch a chunk from outside the region: from its
// owners in the home region, then from the origin.
func (d *download) fetchFromUpstream(ctx context.Context, index int) {
	digest := d.manifest.Chunks()[index]
	for _, source := range d.layout.UpstreamOwners(digest.String()) {
		if d.failures.isExcluded(source.Name()) {
			continue
		}
		request := Request{Chunk: digest, MaxWait: d.fetcher.Timing.MaxWait, FetchAsOwner: source.Kind != topology.Origin}
		if err := d.fetchFrom(ctx, source, request); err == nil || d.isRetryable(err) {
			return
		}
	}
}
