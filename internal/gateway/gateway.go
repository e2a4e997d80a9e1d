// Package gateway serves clients on the users' platform: it matches each request to a
// route, forwards it to an endpoint, retries it if the route allows, and relays the
// response.
package gateway

import (
	"cmp"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/checkpoint"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/loader"
	"github.com/mimosaward/mimosaward/internal/membudget"
	"github.com/mimosaward/mimosaward/internal/peering"
	"github.com/mimosaward/mimosaward/internal/quarantine"
	"github.com/mimosaward/mimosaward/internal/retry"
	"github.com/mimosaward/mimosaward/internal/storewatch"
	"github.com/mimosaward/mimosaward/internal/timeofday"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// budgetFactor / budgetDivisor is the part of the process's memory for what callers and
	// endpoints make the process hold. The rest is for everything else and for what the garbage
	// collector has not freed.
	budgetFactor, budgetDivisor = 3, 8
	// defaultMemoryBytes is the process's memory if the settings name none.
	defaultMemoryBytes = 256 << 20
	// disconnectCheckInterval is how often the connections of requests in flight are
	// checked for clients that disconnected. Endpoints must be notified within half a
	// second.
	disconnectCheckInterval = 100 * time.Millisecond
	// sweepInterval is how often expired idle connections to endpoints are closed.
	sweepInterval   = time.Second
	readBufferBytes = 32 << 10
	maxBodyBytes    = 64 << 20
)

// Gateway serves clients. Set the exported fields before Run.
type Gateway struct {
	Deployment deployment.Deployment
	// Reload receives a deployment each time the settings change. Only its bounds are
	// applied.
	Reload    <-chan deployment.Deployment
	Log       *event.Logger
	Registry  prometheus.Registerer
	Listen    func(address string) (net.Listener, error)
	Dial      func(ctx context.Context, address string) (net.Conn, error)
	DialStore func(address string) (net.Conn, error)
	// Disconnected reports whether the peer closed a connection.
	Disconnected func(net.Conn) bool
	// Stale reports whether an idle connection was closed by the peer or has unread bytes.
	Stale func(net.Conn) bool

	observer *storewatch.Observer
	// members holds the registered gateways.
	members *informer.Informer
	// registeredAt is where the gateway's own record was written, nil before. Only register
	// uses it.
	registeredAt *informer.Position
	startup      startup
	dispatcher   *dispatch.Dispatcher
	federation   *dispatch.Federation
	lender       *lender
	tasks        *concurrency.Group
	// failures receives the failure of a component without which the gateway must not run.
	failures chan error
	pool     *connpool.Pool
	// memory bounds what callers, endpoints and other processes make this one hold.
	memory   *membudget.Budget
	limiters callerLimiters
	retries  *retry.Budget
	bounds   atomic.Pointer[deployment.Bounds]
	metrics  *gatewayMetrics
	requests requestTracker
	activity endpointActivity
	// suspension belongs to the regular check of the pending attempts.
	suspension    suspension
	connections   connectionTracker
	retryDetector retryDetector
	store         *platform.Store
	self          peering.Member
	peerTable     *peering.Table
	peering       *peering.Peering
	controlClient *controlrpc.Client
	controlServer *controlrpc.Server
	loaderPoller  *loaderPoller
	quarantine    *quarantine.Quarantine
	checkpoint    *checkpoint.Keeper
	clock         *timeofday.Clock
	crashDetector *crashDetector
	drain         drain
}

// Run serves until stop is done, then drains the requests in flight.
func (g *Gateway) Run(stop context.Context) error {
	controlListener, err := g.prepare()
	if err != nil {
		return err
	}
	group := g.tasks
	group.Go(g.observer.Run)
	group.Go(g.expireGrants)
	group.Go(func(ctx context.Context) { g.controlServer.Run(ctx, controlListener) })
	group.Go(g.register)
	group.Go(g.pollLoaders)
	group.Go(g.maintainHistory)
	group.Go(g.checkpoint.Run)
	group.Every(checkpoint.CheckInterval, g.checkpoint.Check)
	group.Go(g.applySettings)
	group.Go(g.peering.Run)
	group.Go(g.peering.SyncCopies)
	group.Every(disconnectCheckInterval, func(context.Context) { g.requests.cancelDisconnected(g.Disconnected) })
	group.Every(scarcityInterval, (&scarcityMonitor{stats: g.dispatcher.ScarcityStats, log: g.Log}).check)
	group.Every(withdrawInterval, func(context.Context) { g.withdrawExpired() })
	group.Every(probeInterval, func(context.Context) { g.probeNext() })
	group.Every(sweepInterval, func(context.Context) {
		g.pool.Sweep()
		g.activity.forget(time.Now().Add(-maxSilence))
	})
	serveErrors := make(chan error, 3)
	callers := newServer(g.containPanics(g.handleRequest))
	callers.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		callerconn.RecordState(conn, state)
		g.connections.setState(conn, state)
	}
	servers := map[string]struct {
		server  *fasthttp.Server
		limiter *callerconn.Limiter
	}{
		g.Deployment.Listen.Clients:   {callers, g.limiters.clients},
		g.Deployment.Listen.Readiness: {newServer(g.containPanics(g.handleReadiness)), g.limiters.readiness},
		g.Deployment.Listen.Directory: {newServer(g.containPanics(g.handleDirectory)), g.limiters.directory},
	}
	// The group's tasks return on their own after Stop; the process does not wait for
	// them.
	defer group.Stop()
	defer func() { _ = controlListener.Close() }()
	for address, s := range servers {
		if address == "" {
			continue
		}
		listener, err := g.Listen(address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		defer func() { _ = listener.Close() }()
		group.Go(func(context.Context) { serveErrors <- s.server.Serve(s.limiter.Wrap(listener)) })
	}
	g.Log.Emit(event.ProcessStarted, event.Fields{"address": g.Deployment.Listen.Clients})
	select {
	case err := <-serveErrors:
		// The other servers still work, so the requests in flight can end.
		g.Log.Emit(event.ServerFailed, event.Fields{"error": errorText(err)})
		g.drainRequests(callers)
		return err
	case err := <-g.failures:
		g.drainRequests(callers)
		return err
	case <-stop.Done():
		g.drainRequests(callers)
		return nil
	}
}

// prepare creates the gateway's components and returns the control listener.
func (g *Gateway) prepare() (net.Listener, error) {
	instance := g.Deployment.Instance
	g.bounds.Store(&g.Deployment.Bounds)
	g.startup.startedAt = time.Now()
	g.self = peering.Member{
		Name: instance.Name, AvailabilityZone: instance.AvailabilityZone, Region: instance.Region,
		Callers: g.Deployment.Listen.Clients, Control: g.Deployment.Listen.Control, Incarnation: time.Now().UnixMilli(),
	}
	g.store = platform.NewStore(g.Deployment.Store.Address, g.DialStore)
	g.clock = timeofday.New()
	g.peerTable = &peering.Table{Self: g.self, Start: time.Now()}
	g.observer = (&storewatch.Observer{
		List: g.store.List, Watch: g.store.Watch, Reads: g.peerTable.IsReader, Verifies: g.peerTable.Verifies,
		Anchored: func() bool { return g.peerTable.Anchors(platform.KindEndpoints) }, Reserved: g.reservedAddress, Regions: g.Deployment.Regions, Log: g.Log,
		NotWrittenBefore: g.versionNotWrittenBefore, RecordedTime: g.clock.Now,
	}).Init()
	g.members = g.observer.AddInformer(gatewayKind, memberCoalesceDelay, g.applyMembers)
	g.dispatcher = &dispatch.Dispatcher{
		Self: g.self, View: g.observer.ClusterState, Service: g.lookUpService, MinVersion: g.minVersion, Peers: g.peerTable.CellPeers,
		CellEndpoints: g.peerTable.CellEndpoints, FleetGateways: g.readyGateways, Stopping: g.drain.started,
		Priorities: g.priorities,
	}
	g.federation = &dispatch.Federation{Local: g.dispatcher, Remotes: g.remotePeers, Member: g.peerTable.AliveMember, AcquireRemote: g.acquireRemote}
	g.lender = &lender{acquire: g.dispatcher.Acquire, announce: g.dispatcher.RecordAnnounced, log: g.Log}
	g.lender.inOwnCell, g.lender.recordLent = g.inOwnCell, g.recordLent
	g.failures = make(chan error, 1)
	g.tasks = concurrency.NewGroup(concurrency.WithPanicHandler(context.Background(), g.handleTaskPanic))
	g.controlClient = &controlrpc.Client{Dial: g.Dial}
	g.quarantine = g.newQuarantine()
	g.checkpoint = g.newCheckpoint()
	g.crashDetector = &crashDetector{Dial: g.dialEndpoint, Leaving: g.leaving, OnCrash: g.recordCrash}
	g.peering = &peering.Peering{
		Self: g.self, Table: g.peerTable, Control: g.controlClient, BulkControl: &controlrpc.Client{Dial: g.Dial}, Log: g.Log,
		Digest: g.digest, Informers: g.observer.Informers(), Seeds: g.Deployment.Seeds, OnDigest: g.applyDigest,
		OnReport: g.applyReport,
		CellNews: g.quarantine.CellNews, News: g.quarantine.News,
	}
	g.loaderPoller = &loaderPoller{
		Control: g.controlClient, Ports: g.Deployment.PeerPorts, Log: g.Log, Plan: g.loaderPlan, OnStatus: g.dispatcher.RecordStatus,
	}
	g.memory = membudget.New(int(cmp.Or(g.Deployment.Resources.MemoryBytes, defaultMemoryBytes) / budgetDivisor * budgetFactor))
	g.memory.OnEvict = g.recordEviction
	g.pool = &connpool.Pool{Dial: g.Dial, Stale: g.Stale, Budget: g.memory}
	g.retries = &retry.Budget{Percent: 15}
	g.metrics = newGatewayMetrics(g.Registry)
	g.limiters = g.newLimiters()
	g.registerGauges(g.Registry)
	g.controlServer = controlrpc.NewServer()
	g.controlServer.Limiter, g.controlServer.Budget = g.limiters.control, g.memory
	g.controlServer.OnPanic = g.recordCallPanic
	if err := g.peering.Register(g.controlServer); err != nil {
		return nil, err
	}
	if err := g.controlServer.Register(loader.PlanService, &planService{gateway: g}); err != nil {
		return nil, errors.Wrap(err, "register the plan service")
	}
	if err := g.controlServer.Register(lendingService, g.lender); err != nil {
		return nil, errors.Wrap(err, "register the lending service")
	}
	listener, err := g.Listen(g.self.Control)
	return listener, errors.Wrap(err, "listen on the control address")
}

// lookUpService returns a service of the current configuration.
func (g *Gateway) lookUpService(name string) (*configuration.Service, bool) {
	config := g.observer.Configuration()
	if config == nil {
		return nil, false
	}
	return config.Service(name)
}

// priorities returns the priorities of the routes to a service in the current configuration.
func (g *Gateway) priorities(service string) []int {
	config := g.observer.Configuration()
	if config == nil {
		return nil
	}
	return config.Priorities(service)
}

func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, ReadBufferSize: readBufferBytes, MaxRequestBodySize: maxBodyBytes,
		StreamRequestBody: true, ConnState: callerconn.RecordState, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, CloseOnShutdown: true,
		DisablePreParseMultipartForm: true, Logger: discardLogger{},
	}
}

// discardLogger discards the log lines of the HTTP server, since the gateway logs each
// request itself.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

// applySettings applies the bounds of changed settings until ctx is done.
func (g *Gateway) applySettings(ctx context.Context) {
	for {
		select {
		case updated := <-g.Reload:
			g.bounds.Store(&updated.Bounds)
		case <-ctx.Done():
			return
		}
	}
}

// handleRequest handles one client request.
func (g *Gateway) handleRequest(c *fasthttp.RequestCtx) {
	body, refused := g.readBody(c)
	r := g.beginRequest(c, body)
	defer func() {
		if g.drain.started() {
			c.SetConnectionClose()
		}
	}()
	if refused != nil {
		defer r.end()
		r.refuse(refused)
		// The rest of the body can't be told from a next request.
		c.SetConnectionClose()
		r.caller.Linger()
		return
	}
	r.contain(r.serve)
}

// serve admits the request and serves or refuses it.
func (r *request) serve() {
	if refused := r.admit(); refused != nil {
		r.refuse(refused)
		r.end()
		return
	}
	if r.route.Kind == configuration.Stream {
		r.serveStream()
	} else {
		r.serveBuffered()
	}
}

// handleReadiness reports to the platform whether the gateway accepts requests.
func (g *Gateway) handleReadiness(c *fasthttp.RequestCtx) {
	if string(c.Path()) != platform.PathReadiness {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !g.ready() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (g *Gateway) ready() bool {
	return !g.drain.started() && g.configuration() != nil
}

// configuration returns the configuration in force, or nil if the gateway does not know one
// yet that is as new as that of the other gateways.
func (g *Gateway) configuration() *configuration.Configuration {
	current := g.observer.Configuration()
	if current == nil || !g.startup.complete(g.restored, func() (caughtUp, known bool) { return g.caughtUp(current.Version()) }) {
		return nil
	}
	return current
}

// caughtUp reports whether the configuration with the version and the copies of objects are as
// new as those of the other gateways. known is false if there is no other gateway.
func (g *Gateway) caughtUp(version int64) (caughtUp, known bool) {
	caughtUp = true
	for _, peer := range g.peerTable.Alive() {
		known = true
		caughtUp = caughtUp && peer.Digest.Configuration <= version
		for _, local := range g.observer.Informers() {
			state := peer.Digest.Copies[local.Kind]
			// What a gateway knew in an earlier era shows only once it has followed the store.
			sameEra := state.Position.Era == local.Position().Era || state.Position.IsZero()
			caughtUp = caughtUp && sameEra && state.Retained <= local.RetainedCount()
		}
	}
	return caughtUp, known
}
