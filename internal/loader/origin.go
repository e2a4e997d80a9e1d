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

// chunkLocation says where the origin keeps a chunk.
type chunkLocation struct {
	model   string
	version int64
	chunk   int
}

// chunkLocations holds where the origin keeps the chunks of the sets seen last. It is safe
// for concurrent use.
type chunkLocations struct {
	mu   sync.Mutex
	byDigest map[weights.Digest]chunkLocation
}

// add adds the chunks of a set, and drops those for which keep is false.
func (p *chunkLocations) add(manifest *weights.Manifest, keep func(weights.Digest) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[weights.Digest]chunkLocation, len(p.byDigest)+len(manifest.Chunks()))
	for chunk, location := range p.byDigest {
		if keep(chunk) {
			next[chunk] = location
		}
	}
	for index, chunk := range manifest.Chunks() {
		next[chunk] = chunkLocation{model: manifest.Model, version: versionOf(manifest), chunk: index}
	}
	p.byDigest = next
}

func (p *chunkLocations) lookup(chunk weights.Digest) (chunkLocation, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	location, ok := p.byDigest[chunk]
	return location, ok
}

// originInFlight is the number of chunks that an instance asks the origin for at a
// time. The origin takes some tens of connections, and its link is the limit.
const originInFlight = 2

// chooseSources decides where the instances get a set from, and returns those that spread it
// among each other. If engines of the own region serve it already, their instances
// stand in for the origin, and only the others take part.
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

// fetchFromSource asks an instance whose engine serves the set for a chunk, if there is
// one in the region, otherwise the origin.
func (l *Loader) fetchFromSource(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	var inRegion []membership.Instance
	for _, peer := range *l.servingPeers.Load() {
		if peer.Region == l.Deployment.Instance.Region {
			inRegion = append(inRegion, peer)
		}
	}
	for _, peer := range membership.Top(chunk.String(), inRegion, maxServingPeers) {
		response, err := l.transport.FetchPeer(ctx, peer, p2p.Request{Chunk: chunk, MaxWait: servingPeerMaxWait})
		if err == nil {
			return response.Data, nil
		}
	}
	return l.fetchOrigin(ctx, chunk)
}

const (
	// maxServingPeers is the number of instances that are asked for a chunk before the
	// origin is.
	maxServingPeers = 2
	// servingPeerMaxWait is how long an instance may wait for a chunk that it should have.
	servingPeerMaxWait = 50 * time.Millisecond
)

// fetchOrigin asks the origin for a chunk.
func (l *Loader) fetchOrigin(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	plan, _ := l.plans.current()
	if plan.Model.Origin == "" {
		return nil, errNoOrigin
	}
	location, ok := l.chunkLocations.lookup(chunk)
	if !ok {
		return nil, errors.Newf("no manifest names the chunk %s", chunk)
	}
	if err := l.originSemaphore.Acquire(ctx); err != nil {
		return nil, err
	}
	defer l.originSemaphore.Release()
	data, err := l.origin.Chunk(ctx, plan.Model.Origin, location.model, location.version, location.chunk)
	if err == nil {
		l.metrics.chunks.WithLabelValues(sourceOrigin).Inc()
	}
	return data, err
}

// homeRegion returns the region that the origin's link ends in.
func (l *Loader) homeRegion() string {
	plan, _ := l.plans.current()
	return l.Deployment.Regions[plan.Model.OriginZone]
}
