// Package gateway serves callers on the users' platform: it finds the route of a
// request, passes it to an endpoint, repeats what may be repeated, and relays the
// answer.
package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/loader"
	"github.com/mimosaward/mimosaward/internal/peering"
	"github.com/mimosaward/mimosaward/internal/retry"
	"github.com/mimosaward/mimosaward/internal/storewatch"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// leaverInterval is how often connections are looked at for callers that left;
	// an endpoint must learn of it within half a second.
	leaverInterval = 100 * time.Millisecond
	// sweepInterval is how often idle connections past their time are closed.
	sweepInterval = time.Second
	readBufferLen = 32 << 10
	maxBodyBytes  = 64 << 20
	// firstRead bounds the wait for the first request of a connection and for the
	// rest of a request that began.
	firstRead = 5 * time.Second
	// serverIdle is how long an idle connection of a caller is kept. It is above
	// every idle timeout that operators set, since callers close first.
	serverIdle = 60 * time.Second
)

// Gateway serves callers. Set the exported fields before Run.
type Gateway struct {
	Deployment deployment.Deployment
	// Reload is sent a deployment each time the settings changed; of it the bounds come
	// into force.
	Reload    <-chan deployment.Deployment
	Log       *event.Logger
	Registry  prometheus.Registerer
	Listen    func(address string) (net.Listener, error)
	Dial      func(ctx context.Context, address string) (net.Conn, error)
	DialStore func(address string) (net.Conn, error)
	// Left reports whether the other side closed a connection.
	Left func(net.Conn) bool
	// Stale reports whether an idle connection was closed or holds bytes.
	Stale func(net.Conn) bool

	observer   *storewatch.Observer
	dispatcher *dispatch.Dispatcher
	pool       *connpool.Pool
	retries    *retry.Budget
	bounds     atomic.Pointer[deployment.Bounds]
	meter      *gatewayMeter
	flights    flights
	patiences  patiences
	store      *platform.Store
	self       peering.Member
	table      *peering.Table
	peering    *peering.Peering
	control    *controlrpc.Client
	server     *controlrpc.Server
	engines    *engines
	stopping   atomic.Bool
}

// Run serves until stop ends, then finishes the requests in flight.
func (g *Gateway) Run(stop context.Context) error {
	controlListener, err := g.prepare()
	if err != nil {
		return err
	}
	group := concurrency.NewGroup(context.Background())
	group.Go(g.observer.Run)
	group.Go(func(ctx context.Context) { g.server.Run(ctx, controlListener) })
	group.Go(g.register)
	group.Go(g.followEngines)
	group.Go(g.keepHistory)
	group.Go(g.applySettings)
	group.Go(g.peering.Run)
	group.Go(g.peering.SyncCopies)
	group.Every(leaverInterval, func(context.Context) { g.flights.cancelLeft(g.Left) })
	group.Every(sweepInterval, func(context.Context) { g.pool.Sweep() })
	failed := make(chan error, 3)
	servers := map[string]fasthttp.RequestHandler{
		g.Deployment.Listen.Callers:   g.handle,
		g.Deployment.Listen.Readiness: g.readiness,
		g.Deployment.Listen.Directory: g.directory,
	}
	// A stopped group's duties end by themselves; the process does not wait for them.
	defer group.Stop()
	defer func() { _ = controlListener.Close() }()
	for address, handler := range servers {
		if address == "" {
			continue
		}
		listener, err := g.Listen(address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", address)
		}
		defer func() { _ = listener.Close() }()
		server := newServer(handler)
		group.Go(func(context.Context) { failed <- server.Serve(listener) })
	}
	g.Log.Emit(event.ProcessStarted, event.Fields{"address": g.Deployment.Listen.Callers})
	select {
	case err := <-failed:
		return err
	case <-stop.Done():
		g.drain()
		return nil
	}
}

// prepare builds the parts and listens for the other gateways.
func (g *Gateway) prepare() (net.Listener, error) {
	own := g.Deployment.Instance
	g.bounds.Store(&g.Deployment.Bounds)
	g.self = peering.Member{
		Name: own.Name, AvailabilityZone: own.AvailabilityZone, Region: own.Region,
		Callers: g.Deployment.Listen.Callers, Control: g.Deployment.Listen.Control, Incarnation: time.Now().UnixMilli(),
	}
	g.store = platform.NewStore(g.Deployment.Store.Address, g.DialStore)
	g.table = &peering.Table{Self: own.Name}
	g.observer = (&storewatch.Observer{List: g.store.List, Watch: g.store.Watch, Regions: g.Deployment.Regions, Log: g.Log}).Init()
	copies := g.observer.Informers()
	g.observer.AddInformer(gatewayKind, g.applyMembers)
	g.dispatcher = &dispatch.Dispatcher{
		Self: g.self, View: g.observer.ClusterState, Service: g.describeService, MinVersion: g.demandedVersion, Peers: g.table.Alive,
	}
	g.control = &controlrpc.Client{Dial: g.Dial}
	g.peering = &peering.Peering{
		Self: g.self, Table: g.table, Control: g.control, BulkControl: &controlrpc.Client{Dial: g.Dial}, Log: g.Log,
		Digest: g.digest, Informers: copies, Seeds: g.Deployment.Seeds, OnDigest: g.noteDigest,
	}
	g.engines = &engines{
		Control: g.control, Ports: g.Deployment.PeerPorts, Log: g.Log, Plan: g.loaderPlan, OnStatus: g.dispatcher.RecordStatus,
	}
	g.pool = &connpool.Pool{Dial: g.Dial, Stale: g.Stale}
	g.retries = &retry.Budget{Percent: 15}
	g.meter = newGatewayMeter(g.Registry)
	g.registerGauges(g.Registry)
	g.server = controlrpc.NewServer()
	if err := g.peering.Register(g.server); err != nil {
		return nil, err
	}
	if err := g.server.Register(loader.PlanService, &plans{gateway: g}); err != nil {
		return nil, errors.Wrap(err, "register the questions of loaders")
	}
	listener, err := g.Listen(g.self.Control)
	return listener, errors.Wrap(err, "listen for other gateways")
}

// describeService returns a service of the configuration in force.
func (g *Gateway) describeService(name string) (*configuration.Service, bool) {
	current := g.observer.Configuration()
	if current == nil {
		return nil, false
	}
	return current.Service(name)
}

func newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler: handler, ReadBufferSize: readBufferLen, MaxRequestBodySize: maxBodyBytes,
		ReadTimeout: firstRead, IdleTimeout: serverIdle, NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, Logger: silent{},
	}
}

// silent drops the HTTP server's own lines: each request has lines of its own.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

// applySettings puts the bounds of changed settings in force.
func (g *Gateway) applySettings(ctx context.Context) {
	for {
		select {
		case next := <-g.Reload:
			g.bounds.Store(&next.Bounds)
		case <-ctx.Done():
			return
		}
	}
}

// drainPoll is how often a drain looks for the end of the requests in flight.
const drainPoll = 50 * time.Millisecond

// drain leaves the directory, then serves until nothing is in flight.
func (g *Gateway) drain() {
	g.stopping.Store(true)
	g.Log.Emit(event.DrainStarted, event.Fields{"inFlight": g.flights.count()})
	end := time.Now().Add(g.bounds.Load().Grace - time.Second)
	quiet := time.Now().Add(4 * time.Second)
	for time.Now().Before(end) {
		if time.Now().After(quiet) && g.flights.count() == 0 {
			break
		}
		time.Sleep(drainPoll)
	}
	g.Log.Emit(event.DrainEnded, event.Fields{"inFlight": g.flights.count()})
}

// handle answers one request of a caller.
func (g *Gateway) handle(c *fasthttp.RequestCtx) {
	f := g.begin(c)
	if g.stopping.Load() {
		c.SetConnectionClose()
	}
	if refused := f.admit(); refused != nil {
		f.refuse(refused)
		f.end()
		return
	}
	if f.route.Kind == configuration.Stream {
		f.serveStream()
	} else {
		f.servePlain()
	}
	if g.stopping.Load() {
		c.SetConnectionClose()
	}
}

// readiness tells the platform whether the gateway takes requests.
func (g *Gateway) readiness(c *fasthttp.RequestCtx) {
	if string(c.Path()) != platform.PathReadiness {
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !g.ready() {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (g *Gateway) ready() bool {
	return !g.stopping.Load() && g.observer.Configuration() != nil
}
