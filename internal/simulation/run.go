package simulation

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/emulator"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// Run simulates one load pattern at one site. Set the exported fields before Execute.
type Run struct {
	Site    Site
	Pattern Pattern
	Seed    uint64

	start    time.Time
	random   *rand.Rand
	service  configuration.Service
	state    *clusterstate.Store
	engines  []*engineHost
	gateways []*gateway
	cells    *peering.Cells
	tasks    *concurrency.Group

	// attempts is the number of attempts of callers, from which the IDs of jobs are made.
	attempts atomic.Int64

	mu    sync.Mutex
	stats statistics
}

// engineHost is an emulated engine with its endpoint and the index of its availability zone.
type engineHost struct {
	endpoint clusterstate.Endpoint
	zone     int
	engine   *emulator.Engine
}

// gateway is a dispatcher with the latest digest of each peer of its cell and the latest
// report on each gateway of other cells.
type gateway struct {
	name       string
	zone       int
	cell       string
	dispatcher *dispatch.Dispatcher
	federation *dispatch.Federation

	mu      sync.Mutex
	peers   map[string]peering.Peer
	remotes map[string]peering.Peer
}

func (g *gateway) member() peering.Member {
	return peering.Member{Name: g.name, AvailabilityZone: zoneName(g.zone), Region: zoneName(g.zone)}
}

// livePeers returns the peers that have sent a digest.
func (g *gateway) livePeers() []peering.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	var peers []peering.Peer
	for _, peer := range g.peers {
		peers = append(peers, peer)
	}
	return peers
}

// remotePeers returns the gateways of other cells that a report listed.
func (g *gateway) remotePeers() []peering.Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.remotes))
}

func (g *gateway) receiveReport(digest peering.Digest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remotes[digest.Member.Name] = peering.Peer{Digest: digest, ReceivedAt: time.Now()}
}

func (g *gateway) receiveDigest(digest peering.Digest) {
	g.mu.Lock()
	g.peers[digest.Member.Name] = peering.Peer{Digest: digest, ReceivedAt: time.Now()}
	g.mu.Unlock()
	g.dispatcher.RecordDigest(digest)
}

// Execute runs the pattern to its end and returns the summary of the outcomes.
func (r *Run) Execute(ctx context.Context) Result {
	r.tasks = concurrency.NewGroup(ctx)
	r.prepare()
	tasks := r.tasks
	for _, host := range r.engines {
		tasks.Go(host.engine.Run)
	}
	for _, from := range r.gateways {
		for _, to := range r.gateways {
			switch {
			case from == to:
			case from.cell == to.cell:
				tasks.Go(func(ctx context.Context) { r.sendDigests(ctx, from, to) })
			default:
				tasks.Go(func(ctx context.Context) { r.sendReports(ctx, from, to) })
			}
		}
	}
	for _, host := range r.engines {
		r.setVersion(host, 1)
		tasks.Go(func(ctx context.Context) { r.publishStatus(ctx, host) })
	}
	if r.Pattern.Disturb != nil {
		tasks.Go(func(ctx context.Context) { r.Pattern.Disturb(ctx, r) })
	}
	r.generateLoad(ctx)
	tasks.Stop()
	tasks.Wait()
	return r.stats.result(r)
}

func (r *Run) prepare() {
	r.start = time.Now()
	r.random = rand.New(rand.NewPCG(r.Seed, 1))
	r.state = clusterstate.NewStore()
	r.service = configuration.Service{Name: service, Engine: &r.Site.Engine}
	r.stats.windows = make([]valueSum, int(r.Pattern.Duration/windowLength)+1)
	for zone, count := range r.Site.Engines {
		for index := range count {
			r.engines = append(r.engines, &engineHost{
				zone: zone, engine: emulator.NewEngine(r.Site.Engine, r.Site.QueueCapacity),
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
	var members []peering.Member
	for _, g := range r.gateways {
		members = append(members, g.member())
	}
	r.cells = peering.NewCells(members)
	for _, g := range r.gateways {
		g.cell = r.cells.Of(g.name)
	}
}

func (r *Run) newGateway(zone, index int) *gateway {
	g := &gateway{name: fmt.Sprintf("gateway-%d-%d", zone, index), zone: zone, peers: map[string]peering.Peer{}, remotes: map[string]peering.Peer{}}
	priorities := r.Site.priorities()
	g.dispatcher = &dispatch.Dispatcher{
		Self: g.member(), View: r.state.View,
		Service:    func(string) (*configuration.Service, bool) { return &r.service, true },
		MinVersion: func(string) int64 { return 0 }, Peers: g.livePeers, CellEndpoints: func() func(id, region string) bool { return r.cellEndpoints(g) },
		Priorities: func(string) []int { return priorities },
	}
	g.federation = &dispatch.Federation{Local: g.dispatcher, Remotes: g.remotePeers, AcquireRemote: r.acquireRemote(g)}
	return g
}

// setVersion sets the version of the model that an engine serves, where 0 means none, and
// publishes it to the gateways.
func (r *Run) setVersion(host *engineHost, version int64) {
	r.mu.Lock()
	host.endpoint.Weights = nil
	if version > 0 {
		host.endpoint.Weights = []clusterstate.ModelVersion{{Model: model, Version: version}}
	}
	endpoints := make([]clusterstate.Endpoint, 0, len(r.engines))
	for _, h := range r.engines {
		endpoints = append(endpoints, h.endpoint)
	}
	r.state.SetEndpoints(endpoints, informer.Position{Revision: int64(time.Since(r.start)) + 1})
	r.mu.Unlock()
	for _, g := range r.gateways {
		g.dispatcher.RecordStatus(host.endpoint.ID, r.status(host), true)
	}
}

// status returns the status that the engine's loader reports.
func (r *Run) status(host *engineHost) engine.Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return engine.Status{Incarnation: host.endpoint.Incarnation, Weights: host.endpoint.Weights}
}

// statusInterval is the interval at which an engine's loader reports its status to gateways.
const statusInterval = 500 * time.Millisecond

func (r *Run) publishStatus(ctx context.Context, host *engineHost) {
	for concurrency.Sleep(ctx, statusInterval) {
		for _, g := range r.gateways {
			g.dispatcher.RecordStatus(host.endpoint.ID, r.status(host), true)
		}
	}
}

// sendDigests periodically sends digests from one gateway to another. The first one is
// delayed by a random time, so that the gateways do not all send at the same time.
func (r *Run) sendDigests(ctx context.Context, from, to *gateway) {
	concurrency.Sleep(ctx, time.Duration(r.uniform(float64(digestInterval))))
	interval := digestInterval
	if from.zone != to.zone {
		interval = remoteDigestInterval
	}
	for concurrency.Sleep(ctx, interval) {
		digest := peering.Digest{Member: from.member(), Ready: true}
		from.dispatcher.AddTo(&digest)
		concurrency.Sleep(ctx, r.delay(from.zone, to.zone))
		to.receiveDigest(digest)
	}
}

// cellEndpoints returns a function that reports whether an endpoint belongs to the cell of a
// gateway.
func (r *Run) cellEndpoints(g *gateway) func(id, region string) bool {
	available := func(string) bool { return true }
	return func(id, region string) bool { return r.cells.ForEndpoint(id, region, available) == g.cell }
}

// sendReports periodically sends the capacities of a gateway to one of another cell.
func (r *Run) sendReports(ctx context.Context, from, to *gateway) {
	interval := reportInterval
	if from.zone != to.zone {
		interval = remoteReportInterval
	}
	concurrency.Sleep(ctx, time.Duration(r.uniform(float64(interval))))
	for ctx.Err() == nil {
		var digest peering.Digest
		from.dispatcher.AddTo(&digest)
		report := peering.Digest{Member: from.member(), Ready: true, Capacities: digest.Capacities}
		concurrency.Sleep(ctx, reportDelay)
		to.receiveReport(report)
		concurrency.Sleep(ctx, interval)
	}
}

// remoteAnswer is the answer of a gateway of another cell.
type remoteAnswer struct {
	grant   *dispatch.Grant
	refusal dispatch.Refusal
}

// acquireRemote returns the function with which a gateway acquires endpoints of others. As in
// a gateway, the call goes on if the caller leaves, and a late grant is released.
func (r *Run) acquireRemote(g *gateway) func(context.Context, peering.Member, *dispatch.Job) (*dispatch.Grant, dispatch.Refusal, error) {
	return func(ctx context.Context, member peering.Member, job *dispatch.Job) (*dispatch.Grant, dispatch.Refusal, error) {
		received := *job
		answers := make(chan remoteAnswer)
		r.tasks.Go(func(taskCtx context.Context) {
			answer := r.callLender(taskCtx, g, member, &received)
			select {
			case answers <- answer:
			case <-ctx.Done():
				r.count(&r.stats.leftAsking)
				if answer.grant != nil {
					answer.grant.Release()
				}
			}
		})
		select {
		case answer := <-answers:
			return answer.grant, answer.refusal, nil
		case <-ctx.Done():
			return nil, dispatch.Refusal{Reason: dispatch.ClientDisconnected}, nil
		}
	}
}

// callLender asks a gateway of another cell for an endpoint.
func (r *Run) callLender(ctx context.Context, g *gateway, member peering.Member, job *dispatch.Job) remoteAnswer {
	index := slices.IndexFunc(r.gateways, func(other *gateway) bool { return other.name == member.Name })
	lender := r.gateways[index]
	delay := r.delay(g.zone, lender.zone)
	concurrency.Sleep(ctx, delay)
	grant, refusal := lender.dispatcher.Acquire(ctx, job)
	concurrency.Sleep(ctx, delay)
	if grant == nil {
		return remoteAnswer{refusal: refusal}
	}
	return remoteAnswer{grant: dispatch.NewRemoteGrant(grant.Endpoint, grant.Version, grant.Decision, func(outcome dispatch.Outcome) {
		r.tasks.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, delay)
			if outcome == dispatch.Released {
				grant.Release()
			} else {
				grant.Record(outcome)
			}
		})
	})}
}

// delay returns the one-way delay between availability zones.
func (r *Run) delay(a, b int) time.Duration {
	if a == b {
		return sameZoneDelay
	}
	return r.Site.RegionDelay
}

// uniform returns a uniformly distributed random number in [0, bound).
func (r *Run) uniform(bound float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.Float64() * bound
}

// sampleTokens returns a random number of tokens from a distribution. It is at least 1.
func (r *Run) sampleTokens(distribution TokenDistribution) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	location := math.Log(distribution.Mean) - distribution.Sigma*distribution.Sigma/2
	return int(max(1, min(distribution.Max, math.Exp(location+distribution.Sigma*r.random.NormFloat64()))))
}

// generateLoad starts callers until the pattern ends, and returns when all of them are done.
func (r *Run) generateLoad(ctx context.Context) {
	callers := concurrency.NewGroup(ctx)
	generators := concurrency.NewGroup(ctx)
	for _, kind := range r.Site.Kinds {
		for zone := range r.Site.Gateways {
			generators.Go(func(ctx context.Context) { r.generateRequests(ctx, callers, kind, zone, r.runRequest) })
			if r.Site.LeaverRate > 0 {
				leavers := kind
				leavers.Rate *= r.Site.LeaverRate
				generators.Go(func(ctx context.Context) { r.generateRequests(ctx, callers, leavers, zone, r.runLeaver) })
			}
		}
	}
	generators.Wait()
	callers.Wait()
}

// generateRequests starts the callers of a kind in an availability zone as a Poisson process.
func (r *Run) generateRequests(ctx context.Context, callers *concurrency.Group, kind Kind, zone int, run func(ctx context.Context, kind Kind, zone int)) {
	baseRate := kind.Rate / float64(len(r.Site.Gateways))
	for {
		elapsed := time.Since(r.start)
		rate := baseRate
		if r.Pattern.Rate != nil {
			rate *= r.Pattern.Rate(kind, zone, elapsed)
		}
		interval := time.Duration(-math.Log(1-r.uniform(1)) / rate * float64(time.Second))
		if elapsed+interval > r.Pattern.Duration || !concurrency.Sleep(ctx, interval) {
			return
		}
		callers.Go(func(ctx context.Context) { run(ctx, kind, zone) })
	}
}
