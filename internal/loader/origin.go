package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// chunkLocation identifies a chunk at the origin.
type chunkLocation struct {
	model   string
	version int64
	chunk   int
}

// chunkLocations maps the chunks of recent weight sets to their locations at the origin.
// It is safe for concurrent use.
type chunkLocations struct {
	mu       sync.Mutex
	byDigest map[weights.Digest]chunkLocation
}

// add adds the chunks of a weight set and removes older chunks for which keep returns
// false.
func (c *chunkLocations) add(manifest *weights.Manifest, keep func(weights.Digest) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[weights.Digest]chunkLocation, len(c.byDigest)+len(manifest.Chunks()))
	for chunk, location := range c.byDigest {
		if keep(chunk) {
			next[chunk] = location
		}
	}
	for index, chunk := range manifest.Positions() {
		next[chunk] = chunkLocation{model: manifest.Model, version: versionOf(manifest), chunk: index}
	}
	c.byDigest = next
}

func (c *chunkLocations) lookup(chunk weights.Digest) (chunkLocation, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	location, ok := c.byDigest[chunk]
	return location, ok
}

// originInFlight is the number of concurrent chunk requests from an instance to the
// origin. The origin accepts a few tens of connections, and its link is the bottleneck.
const originInFlight = 2

// chooseSources decides where the instances fetch a weight set from, and returns the
// instances that take part in the rollout. If engines of this region already serve the
// set, their instances replace the origin, and only the other instances take part.
func (l *Loader) chooseSources(plan Plan, version int64) []membership.Instance {
	servingPeers := filterInstances(plan.Members.Instances, func(member Member) bool {
		return member.Version == version && member.Instance.Name != l.Deployment.Instance.IP
	})
	inRegion := slices.ContainsFunc(servingPeers, func(peer membership.Instance) bool { return peer.Region == l.Deployment.Instance.Region })
	l.servingPeers.Store(&servingPeers)
	if !inRegion {
		l.fetcher.HomeRegion = l.homeRegion()
		return filterInstances(plan.Members.Instances, allMembers)
	}
	l.fetcher.HomeRegion = l.Deployment.Instance.Region
	return filterInstances(plan.Members.Instances, func(member Member) bool { return member.Version != version })
}

// fetchFromSource fetches a chunk from instances of this region whose engines serve the
// weight set, and from the origin if there are none or they fail.
func (l *Loader) fetchFromSource(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	var inRegion []membership.Instance
	for _, peer := range *l.servingPeers.Load() {
		if peer.Region == l.Deployment.Instance.Region {
			inRegion = append(inRegion, peer)
		}
	}
	plan, _ := l.plans.current()
	for _, peer := range membership.TopRanked(chunk.String(), inRegion, maxServingPeers) {
		response, err := l.transport.FetchPeer(ctx, peer, p2p.Request{Chunk: chunk, MaxBytes: plan.Model.ChunkBytes, MaxWait: servingPeerMaxWait})
		if err == nil {
			return response.Data, nil
		}
	}
	return l.fetchOrigin(ctx, chunk)
}

const (
	// maxServingPeers is the maximum number of serving instances from which a chunk is
	// requested before it is requested from the origin.
	maxServingPeers = 2
	// servingPeerMaxWait is how long a serving instance, which should have the chunk, may
	// delay its response if it does not have it.
	servingPeerMaxWait = 50 * time.Millisecond
)

// fetchOrigin fetches a chunk from the origin.
func (l *Loader) fetchOrigin(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	plan, _ := l.plans.current()
	if plan.Model.Origin == "" {
		return nil, errNoOrigin
	}
	location, ok := l.chunkLocations.lookup(chunk)
	if !ok {
		return nil, errors.Newf("no recent manifest contains chunk %s", chunk)
	}
	if err := l.originSemaphore.Acquire(ctx); err != nil {
		return nil, err
	}
	defer l.originSemaphore.Release()
	data, err := l.origin.Chunk(ctx, plan.Model.Origin, location.model, location.version, location.chunk)
	l.originRequests.record(purposeChunk, err)
	if err != nil {
		return nil, err
	}
	l.metrics.chunks.WithLabelValues(sourceOrigin).Inc()
	l.mismatches.record(chunk, weights.Sum(data) == chunk)
	return data, nil
}

// homeRegion returns the region in which the origin's link terminates.
func (l *Loader) homeRegion() string {
	plan, _ := l.plans.current()
	return l.Deployment.Regions[plan.Model.OriginZone]
}
