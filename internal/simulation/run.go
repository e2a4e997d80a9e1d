package simulation

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/emulator"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// Run is one pattern at one site. Set the exported fields before Play.
type Run struct {
	Site    Site
	Pattern Pattern
	Seed    uint64

	start    time.Time
	random   *rand.Rand
	service  configuration.Service
	fleet    *clusterstate.Holder
	engines  []*host
	gateways []*gateway

	mu    sync.Mutex
	tally tally
}

// host is an engine and where it is.
type host struct {
	endpoint clusterstate.Endpoint
	zone     int
	emulated *emulator.Engine
}

// gateway is a dispatcher and what it heard of the others.
type gateway struct {
	name       string
	zone       int
	dispatcher *dispatch.Dispatcher

	mu    sync.Mutex
	peers map[string]peering.Peer
}

func (g *gateway) member() peering.Member {
	return peering.Member{Name: g.name, AvailabilityZone: zoneName(g.zone), Region: zoneName(g.zone)}
}

// alive returns the gateways that were heard of.
func (g *gateway) alive() []peering.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var peers []peering.Peer
	for _, peer := range g.peers {
		peers = append(peers, peer)
	}
	return peers
}

func (g *gateway) hear(digest peering.Digest) {
	g.mu.Lock()
	g.peers[digest.Member.Name] = peering.Peer{Digest: digest, ReceivedAt: time.Now()}
	g.mu.Unlock()
	g.dispatcher.RecordDigest(digest)
}

// Execute runs the pattern to its end and returns what callers got.
func (r *Run) Execute(ctx context.Context) Result {
	r.prepare()
	work := concurrency.NewGroup(ctx)
	for _, held := range r.engines {
		work.Go(held.emulated.Run)
	}
	for _, from := range r.gateways {
		for _, to := range r.gateways {
			if from != to {
				work.Go(func(ctx context.Context) { r.exchange(ctx, from, to) })
			}
		}
	}
	for _, held := range r.engines {
		r.setVersion(held, 1)
		work.Go(func(ctx context.Context) { r.tellStatus(ctx, held) })
	}
	if r.Pattern.Disturb != nil {
		work.Go(func(ctx context.Context) { r.Pattern.Disturb(ctx, r) })
	}
	r.offer(ctx)
	work.Stop()
	work.Wait()
	return r.tally.result(r)
}

func (r *Run) prepare() {
	r.start = time.Now()
	r.random = rand.New(rand.NewPCG(r.Seed, 1))
	r.fleet = clusterstate.NewHolder()
	r.service = configuration.Service{Name: service, Engine: &r.Site.Engine}
	r.tally.windows = make([]window, int(r.Pattern.Duration/windowLength)+1)
	for zone, count := range r.Site.Engines {
		for index := range count {
			r.engines = append(r.engines, &host{
				zone: zone, emulated: emulator.NewEngine(r.Site.Engine, r.Site.QueueCapacity),
				endpoint: clusterstate.Endpoint{
					ID: fmt.Sprintf("engine-%d-%d", zone, index), Incarnation: 1, Service: service, Address: fmt.Sprintf("10.%d.0.%d:80", zone, index),
					AvailabilityZone: zoneName(zone), Region: zoneName(zone), Slots: r.Site.Engine.Slots,
				},
			})
		}
	}
	for zone, count := range r.Site.Gateways {
		for index := range count {
			r.gateways = append(r.gateways, r.newGateway(zone, index))
		}
	}
}

func (r *Run) newGateway(zone, index int) *gateway {
	g := &gateway{name: fmt.Sprintf("gateway-%d-%d", zone, index), zone: zone, peers: map[string]peering.Peer{}}
	g.dispatcher = &dispatch.Dispatcher{
		Self: g.member(), View: r.fleet.View,
		Service:    func(string) (*configuration.Service, bool) { return &r.service, true },
		MinVersion: func(string) int64 { return 0 }, Peers: g.alive,
	}
	return g
}

// setVersion makes an engine hold a version of the model, 0 for none, and publishes it.
func (r *Run) setVersion(changed *host, version int64) {
	r.mu.Lock()
	changed.endpoint.Weights = nil
	if version > 0 {
		changed.endpoint.Weights = []clusterstate.ModelVersion{{Model: model, Version: version}}
	}
	endpoints := make([]clusterstate.Endpoint, 0, len(r.engines))
	for _, held := range r.engines {
		endpoints = append(endpoints, held.endpoint)
	}
	r.fleet.SetEndpoints(endpoints, int64(time.Since(r.start))+1)
	r.mu.Unlock()
	for _, g := range r.gateways {
		g.dispatcher.RecordStatus(changed.endpoint.ID, r.status(changed), true)
	}
}

// status returns what the engine's loader says.
func (r *Run) status(of *host) engine.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return engine.Status{Incarnation: of.endpoint.Incarnation, Weights: of.endpoint.Weights}
}

// statusInterval is how often an engine's loader tells gateways how it is.
const statusInterval = 500 * time.Millisecond

func (r *Run) tellStatus(ctx context.Context, of *host) {
	for concurrency.Sleep(ctx, statusInterval) {
		for _, g := range r.gateways {
			g.dispatcher.RecordStatus(of.endpoint.ID, r.status(of), true)
		}
	}
}

// exchange tells one gateway how another one is, again and again.
func (r *Run) exchange(ctx context.Context, from, to *gateway) {
	concurrency.Sleep(ctx, time.Duration(r.draw(float64(digestInterval))))
	interval := digestInterval
	if from.zone != to.zone {
		interval = farDigestInterval
	}
	for concurrency.Sleep(ctx, interval) {
		digest := peering.Digest{Member: from.member(), Ready: true}
		digest.Loads, digest.Demands = from.dispatcher.LocalLoad()
		concurrency.Sleep(ctx, r.delay(from.zone, to.zone))
		to.hear(digest)
	}
}

// delay returns the one-way delay between availability zones.
func (r *Run) delay(a, b int) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return r.Site.RegionDelay
}

// draw returns a random number below a bound.
func (r *Run) draw(below float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() * below
}

// size draws a number of tokens.
func (r *Run) size(of TokenDistribution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	location := math.Log(of.Mean) - of.Sigma*of.Sigma/2
	return int(max(1, min(of.Max, math.Exp(location+of.Sigma*r.random.NormFloat64()))))
}

// offer lets callers come until the pattern ends, and returns once all are done.
func (r *Run) offer(ctx context.Context) {
	callers := concurrency.NewGroup(ctx)
	sources := concurrency.NewGroup(ctx)
	for _, kind := range r.Site.Kinds {
		for zone := range r.Site.Gateways {
			sources.Go(func(ctx context.Context) { r.source(ctx, callers, kind, zone) })
		}
	}
	sources.Wait()
	callers.Wait()
}

// source lets the callers of a kind come in an availability zone.
func (r *Run) source(ctx context.Context, callers *concurrency.Group, kind Kind, zone int) {
	usual := kind.Rate / float64(len(r.Site.Gateways))
	for {
		at := time.Since(r.start)
		rate := usual
		if r.Pattern.Rate != nil {
			rate *= r.Pattern.Rate(kind, zone, at)
		}
		pause := time.Duration(-math.Log(1-r.draw(1)) / rate * float64(time.Second))
		if at+pause > r.Pattern.Duration || !concurrency.Sleep(ctx, pause) {
			return
		}
		callers.Go(func(ctx context.Context) { r.call(ctx, kind, zone) })
	}
}
