package p2p

import (
	"context"

	"github.com/mimosaward/mimosaward/internal/topology"
)

// fetchViaOwner gets a chunk that does not arrive by the layout, as when instances know
// different members and wait for each other. All instances of a region turn to the same
// one for it, its keeper; the keepers of other regions turn to that of the home region,
// and that one to the origin. So the origin still sends each chunk about once.
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

// fetchFromUpstream gets a chunk from outside the region.
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
