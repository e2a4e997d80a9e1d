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

// place says where the origin keeps a chunk.
type place struct {
	model   string
	version int64
	chunk   int
}

// places holds where the origin keeps the chunks of the sets seen last. It is safe
// for concurrent use.
type places struct {
	mu   sync.Mutex
	held map[weights.Digest]place
}

// note adds the chunks of a set, and drops those for which keep is false.
func (p *places) note(manifest *weights.Manifest, keep func(weights.Digest) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[weights.Digest]place, len(p.held)+len(manifest.Chunks()))
	for chunk, held := range p.held {
		if keep(chunk) {
			next[chunk] = held
		}
	}
	for index, chunk := range manifest.Chunks() {
		next[chunk] = place{model: manifest.Model, version: versionOf(manifest), chunk: index}
	}
	p.held = next
}

func (p *places) of(chunk weights.Digest) (place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, known := p.held[chunk]
	return held, known
}

// originInFlight is the number of chunks that an instance asks the origin for at a
// time. The origin takes some tens of connections, and its link is the limit.
const originInFlight = 2

// arrange decides where the instances get a set from, and returns those that spread it
// among each other. If engines of the own region serve it already, their instances
// stand in for the origin, and only the others take part.
func (l *Loader) arrange(plan Plan, version int64) []membership.Instance {
	holders := instances(plan.Members.Instances, func(member Member) bool {
		return member.Version == version && member.Instance.Name != l.Deployment.Instance.IP
	})
	near := slices.ContainsFunc(holders, func(holder membership.Instance) bool { return holder.Region == l.Deployment.Instance.Region })
	l.holders.Store(&holders)
	if !near {
		l.fetcher.HomeRegion = l.homeRegion()
		return instances(plan.Members.Instances, everyMember)
	}
	l.fetcher.HomeRegion = l.Deployment.Instance.Region
	return instances(plan.Members.Instances, func(member Member) bool { return member.Version != version })
}

// fetchUpstream asks an instance whose engine serves the set for a chunk, if there is
// one in the region, otherwise the origin.
func (l *Loader) fetchUpstream(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	var near []membership.Instance
	for _, holder := range *l.holders.Load() {
		if holder.Region == l.Deployment.Instance.Region {
			near = append(near, holder)
		}
	}
	for _, holder := range membership.Top(chunk.String(), near, holderTries) {
		answer, err := l.carrier.FetchPeer(ctx, holder, p2p.Request{Chunk: chunk, MaxWait: holderHold})
		if err == nil {
			return answer.Data, nil
		}
	}
	return l.fetchOrigin(ctx, chunk)
}

const (
	// holderTries is the number of instances that are asked for a chunk before the
	// origin is.
	holderTries = 2
	// holderHold is how long an instance may wait for a chunk that it should have.
	holderHold = 50 * time.Millisecond
)

// fetchOrigin asks the origin for a chunk.
func (l *Loader) fetchOrigin(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	plan, _ := l.plans.current()
	if plan.Model.Origin == "" {
		return nil, errNoOrigin
	}
	at, known := l.places.of(chunk)
	if !known {
		return nil, errors.Newf("no manifest names the chunk %s", chunk)
	}
	if err := l.originTurn.Acquire(ctx); err != nil {
		return nil, err
	}
	defer l.originTurn.Release()
	data, err := l.origin.Chunk(ctx, plan.Model.Origin, at.model, at.version, at.chunk)
	if err == nil {
		l.meter.chunks.WithLabelValues(sourceOrigin).Inc()
	}
	return data, err
}

// homeRegion returns the region that the origin's link ends in.
func (l *Loader) homeRegion() string {
	plan, _ := l.plans.current()
	return l.Deployment.Regions[plan.Model.OriginZone]
}
