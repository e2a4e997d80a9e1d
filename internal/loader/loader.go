// Package loader supplies weights to the engine on its instance: it fetches the
// version that the operators want from other instances or the origin, stages it,
// orders the engine to load it, and reports the engine's status to gateways.
package loader

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/checkpoint"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/membudget"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/quarantine"
	"github.com/mimosaward/mimosaward/internal/stopwatch"
	"github.com/mimosaward/mimosaward/internal/storewatch"
	"github.com/mimosaward/mimosaward/internal/timeofday"
	"github.com/mimosaward/mimosaward/internal/transport"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// chunkMemoryLimit bounds the memory of chunks: those of the served weight set, of
	// the wanted one, and of one more that replaces it during the fetch. It is a fifth of
	// the memory of the smallest instance.
	chunkMemoryLimit = 32 * bytesize.MiB
	// peerTimeout bounds the wait for a response from another instance, in addition to
	// the time for which that instance may delay a request.
	peerTimeout = 1500 * time.Millisecond
	// fanOut is the number of instances to which one instance sends each chunk.
	fanOut = 8
)

// Loader manages the weights of one engine. Set the exported fields before Run.
type Loader struct {
	Deployment deployment.Deployment
	Log        *event.Logger
	Registry   prometheus.Registerer
	Listen     func(address string) (net.Listener, error)
	// Dial connects to another process, DialControl to a gateway.
	Dial        func(address string) (net.Conn, error)
	DialControl func(ctx context.Context, address string) (net.Conn, error)
	// BootTime returns the time since the machine started; nil means that of the system.
	BootTime func() time.Duration

	// failures receives the failure of a component without which the loader must not run.
	failures       chan error
	engine         *platform.Engine
	origin         *platform.Origin
	originRequests *originRequests
	store          *weights.Store
	fetcher        *p2p.Fetcher
	transport      *transport.Transport
	metrics        *loaderMetrics
	// memory bounds what other processes make this one hold.
	memory         *membudget.Budget
	controlLimiter *callerconn.Limiter
	chunkLimiter   *callerconn.Limiter
	started        time.Time
	control        *controlrpc.Client
	// objects is the client for the object store, which the loader reads without gateways.
	objects        *platform.Store
	plans          *planHolder
	status         statusHolder
	weightSets     weightSets
	chunkLocations chunkLocations
	mismatches     originMismatches
	readiness      readiness
	unconfirmed    unconfirmedLoads
	// servingPeers are the instances whose engines already serve the weight set that
	// this instance fetches.
	servingPeers atomic.Pointer[[]membership.Instance]
	// originSemaphore limits concurrent chunk requests to the origin.
	originSemaphore concurrency.Semaphore
}

// ControlPort returns the port on which loaders serve gateways.
func ControlPort(ports deployment.Ports) int { return ports.First }

// chunkPort returns the port on which loaders serve chunks to each other.
func chunkPort(ports deployment.Ports) int { return ports.First + 1 }

// Run serves until stop is done.
func (l *Loader) Run(stop context.Context) error {
	l.prepare()
	server, err := l.controlServer()
	if err != nil {
		return err
	}
	controlListener, err := l.Listen(l.ownAddress(ControlPort(l.Deployment.PeerPorts)))
	if err != nil {
		return errors.Wrap(err, "listen for gateways")
	}
	defer func() { _ = controlListener.Close() }()
	chunkListener, err := l.Listen(l.ownAddress(chunkPort(l.Deployment.PeerPorts)))
	if err != nil {
		return errors.Wrap(err, "listen for other instances")
	}
	defer func() { _ = chunkListener.Close() }()
	app := fiber.New()
	l.transport.RegisterRoutes(app)
	chunkServer := &fasthttp.Server{Handler: l.containPanics(app.Handler()), NoDefaultServerHeader: true, StreamRequestBody: true, ConnState: callerconn.RecordState}
	group := concurrency.NewGroup(concurrency.WithPanicHandler(stop, l.handleTaskPanic))
	defer group.Stop()
	group.Go(l.requestPlanFromSeeds)
	group.Go(l.watchGatewayContact)
	group.Go(func(ctx context.Context) { server.Run(ctx, controlListener) })
	group.Go(func(context.Context) { _ = chunkServer.Serve(l.chunkLimiter.Wrap(chunkListener)) })
	group.Go(l.pollEngine)
	group.Go(l.fetchLoop)
	group.Go(l.loadLoop)
	l.Log.Emit(event.ProcessStarted, event.Fields{"engine": l.Deployment.Endpoint.Address})
	select {
	case err := <-l.failures:
		return err
	case <-stop.Done():
	}
	// No graceful shutdown is needed: the next loader continues from the staged chunks.
	return nil
}

// peerIdleTimeout is how long an idle connection from another instance is kept open. It
// is longer than the client's idle timeout, so that the server never closes a connection
// while a request is in transit.
const peerIdleTimeout = 3 * upstream.IdleConnTimeout

func (l *Loader) ownAddress(port int) string {
	return net.JoinHostPort(l.Deployment.Instance.IP, strconv.Itoa(port))
}

func (l *Loader) prepare() {
	l.started = time.Now()
	if l.BootTime == nil {
		l.BootTime = stopwatch.BootTime
	}
	l.failures = make(chan error, 1)
	l.metrics = newLoaderMetrics(l.Registry)
	l.objects = platform.NewStore(l.Deployment.Store.Address, l.Dial)
	l.prepareLimits()
	l.plans = newPlanHolder()
	l.control = &controlrpc.Client{Dial: l.DialControl}
	l.originSemaphore.Limit = originInFlight
	l.readiness.linkRate = l.Deployment.Resources.LinkBytesPerSecond
	l.servingPeers.Store(&[]membership.Instance{})
	l.engine = platform.NewEngine(l.Deployment.Endpoint.Address, l.Dial)
	l.originRequests = newOriginRequests(l.Registry, l.Log)
	l.origin = platform.NewOrigin(l.originRequests.countConnections(l.Dial))
	l.store = weights.NewStore(chunkMemoryLimit)
	l.transport = (&transport.Transport{
		Dial: l.Dial, Timeout: peerTimeout, LinkRate: l.Deployment.Resources.LinkBytesPerSecond,
		Serve:           l.serveChunk,
		OnChunkReceived: func() { l.metrics.chunks.WithLabelValues(sourceInstance).Inc() },
	}).Init()
	l.fetcher = &p2p.Fetcher{
		Self: l.self(), FanOut: fanOut, Store: l.store, Log: l.Log, Timing: p2p.FastTiming(),
		FetchPeer: l.transport.FetchPeer, FetchOrigin: l.fetchFromSource,
	}
	l.mismatches.repeated = make(chan struct{}, 1)
	l.status.changed = make(chan struct{})
	l.weightSets.byWantedVersion, l.weightSets.changed = map[int64]*weights.Manifest{}, make(chan struct{})
	// The gauges read the components, possibly at once.
	l.registerGauges(l.Registry)
}

func (l *Loader) controlServer() (*controlrpc.Server, error) {
	server := controlrpc.NewServer()
	server.OnPanic = l.recordCallPanic
	server.Limiter, server.Budget = l.controlLimiter, l.memory
	err := server.Register(ServiceName, &service{loader: l})
	return server, errors.Wrap(err, "register the loader's service")
}

// newObserver returns an observer of the object store, and the keeper of the gateways' record, which
// tells how old a version may be that was requested while no gateway ran.
func (l *Loader) newObserver() (*storewatch.Observer, *checkpoint.Keeper) {
	clock := timeofday.New()
	record := &checkpoint.Keeper{
		Get: func(ctx context.Context) (informer.Object, error) {
			return l.objects.Get(ctx, checkpoint.Kind, checkpoint.Name)
		},
		Merge: func(quarantine.Digest, time.Time) {}, Clock: clock, Log: l.Log,
	}
	observer := &storewatch.Observer{List: l.objects.List, Watch: l.objects.Watch, Regions: l.Deployment.Regions, Log: l.Log, RecordedTime: clock.Now}
	observer.NotWrittenBefore = func(revision int64, initial bool) (at time.Time, earlier, ready bool) {
		if !initial || !record.Restored() {
			return time.Time{}, false, !initial
		}
		at, earlier = record.NotWrittenBefore(revision, true)
		return at, earlier, true
	}
	record.OnRestored = observer.DateVersions
	return observer.Init(), record
}

// self describes this instance as a node of the distribution topology.
func (l *Loader) self() membership.Instance {
	instance := l.Deployment.Instance
	return loaderInstance(instance.IP, instance.AvailabilityZone, instance.Region, l.Deployment.PeerPorts)
}
