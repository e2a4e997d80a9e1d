// Package integration tests the guarantees of gateways and loaders. They run in one
// synctest bubble with virtual time and a fake of the users' platform, connected by an
// in-memory network whose paths the tests disconnect and freeze.
package integration

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/gateway"
	"github.com/mimosaward/mimosaward/internal/loader"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// TestMain serves one request outside of any synctest bubble, because the HTTP library
// starts its clock once per process.
func TestMain(m *testing.M) {
	listener := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	group := concurrency.NewGroup(context.Background())
	group.Go(func(context.Context) { _ = server.Serve(listener) })
	client := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return listener.Dial() }}
	_, _, _ = client.Get(nil, "http://warm.up/")
	client.CloseIdleConnections()
	_ = server.Shutdown()
	os.Exit(m.Run())
}

const (
	zoneCount = 3
	// startupTime is the time that an installation needs to become ready.
	startupTime = 3 * time.Second
	cleanupTime = 3 * time.Minute

	storeAddress  = "10.200.0.1:80"
	originAddress = "10.200.0.2:80"
	host          = "aso.example"
	apiKey        = "key-of-aso"
	modelName     = "draft"
	chunkCount    = 12
	chunkBytes    = 4 << 10
)

// bounds are the time limits in the users' specifications.
var bounds = deployment.Bounds{
	ConfigurationApply: 2 * time.Second, Drain: 2 * time.Second, ZoneEvacuation: 5 * time.Second, Rollout: 8 * time.Second, GracePeriod: 8 * time.Second,
	RecoveryTime: 3 * time.Second, AddressTTL: 5 * time.Second, AddressReuseDelay: 2 * time.Second, Heartbeat: 1200 * time.Millisecond,
	EventDelay: 120 * time.Millisecond,
}

// engineConfig is the configuration of the engines of the installation.
var engineConfig = configuration.Engine{
	Slots: 4, TokensPerEvent: 5, StepTime: 10 * time.Millisecond, PrefillRate: 20_000, PrefillChunkTokens: 2048, Layers: 4, Chunks: chunkCount,
	ChunkBytes: chunkBytes, LoadTime: 300 * time.Millisecond, MeanPromptTokens: 500, MeanResponseTokens: 50,
}

// installation contains the gateways, loaders and endpoints of one synctest bubble.
type installation struct {
	t       *testing.T
	network *fakes.Network
	store   *platformtest.Store
	origin  *platformtest.Origin
	// originListener accepts the connections to the origin.
	originListener *cappedListener
	fakeGroup      *concurrency.Group
	state          platformtest.DesiredState
	endpoints      map[string]*platformtest.Endpoint
	processes      map[string]*process
	attempts       int
	metrics        map[string]*prometheus.Registry
	// registries are those of all processes that were started.
	registries []*prometheus.Registry
}

// process is a running gateway or loader.
type process struct {
	stop context.CancelFunc
	done chan struct{}
}

// withInstallation runs a test in a synctest bubble with an installation that is ready.
func withInstallation(t *testing.T, test func(i *installation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		for zone := range zoneCount {
			i.startGateway(zone)
		}
		time.Sleep(startupTime)
		test(i)
		i.close()
	})
}

func newInstallation(t *testing.T) *installation {
	i := &installation{
		t: t, network: fakes.NewNetwork(), store: platformtest.NewStore(), fakeGroup: concurrency.NewGroup(context.Background()),
		origin:    &platformtest.Origin{Model: modelName, Chunks: chunkCount, ChunkBytes: chunkBytes, Layers: engineConfig.Layers, NewestVersion: 1},
		endpoints: map[string]*platformtest.Endpoint{}, processes: map[string]*process{}, metrics: map[string]*prometheus.Registry{},
	}
	i.serveFake("store", storeAddress, i.store.Handle)
	i.serveOrigin()
	for zone := range zoneCount {
		i.startBookingService(zone, 0)
		i.startEngine(zone, 0, 1)
		i.startEngine(zone, 1, 1)
	}
	i.state = platformtest.DesiredState{
		Version: 1,
		Routes: []platformtest.Route{
			{Name: "status", Host: host, PathPrefix: "/status/", Kind: platformtest.Idempotent, Timeout: 2000, TargetLatency: 100, Service: "booking", MaxAttempts: 2},
			{Name: "book", Host: host, PathPrefix: "/book/", Kind: platformtest.AtMostOnce, Timeout: 2000, TargetLatency: 100, Service: "booking", MaxAttempts: 2},
			{Name: "draft", Host: host, PathPrefix: "/draft/", Kind: platformtest.Streaming, Timeout: 6000, TargetLatency: 500, TargetGap: 400, Service: "drafts", MaxAttempts: 2},
			{Name: "home", Host: host, PathPrefix: "/home/", Kind: platformtest.Idempotent, Timeout: 2000, TargetLatency: 100, Service: "booking", MaxAttempts: 3, Regions: []string{regionName(1)}},
			{Name: "open", Host: host, PathPrefix: "/open/", Kind: platformtest.Idempotent, Timeout: 2000, TargetLatency: 100, Service: "booking", MaxAttempts: 2, Public: true},
		},
		Services: []platformtest.Service{
			{Name: "booking", MaxConns: 100},
			{Name: "drafts", MaxConns: 100, ColdStart: 3, ColdRate: 10, Engine: &platformtest.EngineSpec{
				Slots: engineConfig.Slots, Stride: engineConfig.TokensPerEvent, StepTime: 10, PrefillRate: engineConfig.PrefillRate, PrefillChunkTokens: engineConfig.PrefillChunkTokens,
				Layers: engineConfig.Layers, Chunks: chunkCount, ChunkBytes: chunkBytes, MeanTokens: platformtest.MeanTokens{Prompt: 500, Answer: 50},
				Models: []platformtest.ModelEntry{{Name: modelName, LoadTime: 0.3}},
			}},
			{Name: "office", Origin: originAddress, Zone: zoneName(0), LinkMbps: 100, MaxConns: maxOriginConns},
		},
		Workspaces: []platformtest.Workspace{{Name: "aso", APIKeys: []string{apiKey}}},
		Limits:     platformtest.Limits{HeaderBytes: 8 << 10, BodyBytes: 64 << 10},
	}
	i.store.Configure(i.state)
	return i
}

func zoneName(zone int) string   { return fmt.Sprintf("zone-%d", zone) }
func regionName(zone int) string { return fmt.Sprintf("region-%d", zone) }

func gatewayName(zone int) string    { return fmt.Sprintf("gateway-%d", zone) }
func gatewayHost(zone int) string    { return fmt.Sprintf("10.%d.1.1", zone) }
func gatewayAddress(zone int) string { return gatewayHost(zone) + ":8005" }

// nameOfGateway and hostOfGateway are for zones with several gateways.
func nameOfGateway(zone, index int) string {
	if index == 0 {
		return gatewayName(zone)
	}
	return fmt.Sprintf("%s-%d", gatewayName(zone), index)
}

func hostOfGateway(zone, index int) string { return fmt.Sprintf("10.%d.1.%d", zone, index+1) }

// serveFake serves a fake of the platform on the address.
func (i *installation) serveFake(owner, address string, handle fasthttp.RequestHandler) {
	listener, err := i.network.ForProcess(owner).Listen(address)
	if err != nil {
		i.t.Fatal(err)
	}
	i.fakeGroup.Go(func(ctx context.Context) { platformtest.Serve(ctx, listener, handle) })
}

func (i *installation) startEndpoint(endpoint *platformtest.Endpoint) {
	network := i.network.ForProcess(endpoint.ID)
	endpoint.PeerClosed = fakes.PeerClosed
	i.endpoints[endpoint.ID] = endpoint
	i.fakeGroup.Go(func(ctx context.Context) {
		if err := endpoint.ServeRestarting(ctx, func() (net.Listener, error) { return network.Listen(endpoint.Address) }); err != nil {
			i.t.Errorf("%s: %v", endpoint.ID, err)
		}
	})
	endpoint.Register("ready")
}

func (i *installation) startBookingService(zone, index int) *platformtest.Endpoint {
	endpoint := &platformtest.Endpoint{
		ID: fmt.Sprintf("booking-%d-%d", zone, index), Incarnation: 1, Service: "booking", Address: fmt.Sprintf("10.%d.%d.3:90", zone, index+10),
		Zone: zoneName(zone), Slots: 6, ProcessingTime: 20 * time.Millisecond, RestartDelay: 2 * time.Second, Store: i.store,
	}
	i.startEndpoint(endpoint)
	return endpoint
}

func engineName(zone, index int) string { return fmt.Sprintf("engine-%d-%d", zone, index) }

func engineHost(zone, index int) string { return fmt.Sprintf("10.%d.2.%d", zone, index+1) }

// startEngine starts an engine with a loaded version, and its loader.
func (i *installation) startEngine(zone, index int, version int64) {
	i.startEndpoint(&platformtest.Endpoint{
		ID: engineName(zone, index), Incarnation: 1, Service: "drafts", Address: engineHost(zone, index) + ":90", Zone: zoneName(zone),
		Slots: engineConfig.Slots, RestartDelay: 2 * time.Second, Store: i.store, Engine: platformtest.NewEngine(modelName, engineConfig, i.origin, version),
	})
	i.startLoader(zone, index)
}

func (i *installation) deployment(name, ip string, zone int) deployment.Deployment {
	d := deployment.Deployment{
		Instance:  deployment.Instance{Name: name, AvailabilityZone: zoneName(zone), Region: regionName(zone), IP: ip},
		PeerPorts: deployment.Ports{First: 7700, Last: 7715}, Bounds: bounds, Store: deployment.Store{Address: storeAddress, MaxValueBytes: 1 << 20},
		Regions: map[string]string{}, Resources: deployment.Resources{LinkBytesPerSecond: 10 << 20},
	}
	for other := range zoneCount {
		d.Regions[zoneName(other)] = regionName(other)
		d.Seeds = append(d.Seeds, gatewayHost(other)+":8000")
	}
	return d
}

func (i *installation) startLoader(zone, index int) {
	i.startLoaderWith(zone, index, func(*loader.Loader) {})
}

func (i *installation) startLoaderWith(zone, index int, change func(l *loader.Loader)) {
	name := "loader-" + engineName(zone, index)
	d := i.deployment(name, engineHost(zone, index), zone)
	d.Endpoint = deployment.Endpoint{Address: engineHost(zone, index) + ":90", Service: "drafts"}
	network := i.network.ForProcess(name)
	l := &loader.Loader{
		Deployment: d, Log: i.logger(name), Registry: i.newRegistry(), Listen: network.Listen, Dial: network.Dial, DialControl: withContext(network.Dial),
	}
	change(l)
	i.startProcess(name, l.Run)
}

func (i *installation) newRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	i.registries = append(i.registries, registry)
	return registry
}

func withContext(dial func(string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) { return dial(address) }
}

// logger returns a logger that writes to standard output if HOSTED_LOG is set, and
// discards everything otherwise.
func (i *installation) logger(name string) *event.Logger {
	if os.Getenv("HOSTED_LOG") == "" {
		return event.Discard()
	}
	logger, err := event.NewLogger(os.Stdout, "text", "info", name)
	if err != nil {
		i.t.Fatal(err)
	}
	return logger
}

func (i *installation) startGateway(zone int) { i.startGatewayAt(zone, 0) }

func (i *installation) startGatewayAt(zone, index int) {
	i.startGatewayWith(zone, index, func(*gateway.Gateway) {})
}

// startGatewayWith starts a gateway that change has changed.
func (i *installation) startGatewayWith(zone, index int, change func(g *gateway.Gateway)) {
	name, ip := nameOfGateway(zone, index), hostOfGateway(zone, index)
	d := i.deployment(name, ip, zone)
	d.Listen = deployment.Listen{Clients: ip + ":8005", Readiness: ip + ":8002", Directory: ip + ":8009", Control: ip + ":8000"}
	network := i.network.ForProcess(name)
	i.metrics[name] = i.newRegistry()
	g := &gateway.Gateway{
		Deployment: d, Log: i.logger(name), Registry: i.metrics[name], Listen: network.Listen, Dial: withContext(network.Dial), DialStore: network.Dial,
		Disconnected: fakes.PeerClosed, Stale: fakes.PeerClosed,
	}
	change(g)
	i.startProcess(name, g.Run)
}

// startProcess starts a process and runs it until it is stopped.
func (i *installation) startProcess(name string, run func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	proc := &process{stop: cancel, done: make(chan struct{})}
	i.processes[name] = proc
	i.fakeGroup.Go(func(context.Context) {
		defer close(proc.done)
		if err := run(ctx); err != nil {
			i.t.Errorf("%s: %v", name, err)
		}
		i.network.CloseConnections(name)
	})
}

// stopProcess stops a process and waits until it has exited.
func (i *installation) stopProcess(name string) {
	proc := i.processes[name]
	delete(i.processes, name)
	proc.stop()
	<-proc.done
}

func (i *installation) close() {
	for name, proc := range i.processes {
		proc.stop()
		i.network.CloseConnections(name)
	}
	for _, proc := range i.processes {
		<-proc.done
	}
	i.fakeGroup.Stop()
	for _, name := range []string{"store", "origin", "caller"} {
		i.network.CloseConnections(name)
	}
	for name := range i.endpoints {
		i.network.CloseConnections(name)
	}
	i.fakeGroup.Wait()
	time.Sleep(cleanupTime)
}

// configure applies a change to the desired state and writes it with the next version.
func (i *installation) configure(change func(state *platformtest.DesiredState)) {
	change(&i.state)
	i.state.Version++
	i.store.Configure(i.state)
}

// call returns a request to the gateway of a zone.
func (i *installation) call(zone int, path string) platformtest.Request {
	i.attempts++
	return platformtest.Request{
		Gateway: gatewayAddress(zone), AttemptID: fmt.Sprintf("attempt-%d", i.attempts), Method: fasthttp.MethodPost, Host: host, Path: path, APIKey: apiKey,
		Body: "body", Timeout: 2 * time.Second,
	}
}

// chatCall returns a chat completion request to the gateway of a zone.
func (i *installation) chatCall(zone int) platformtest.Request {
	call := i.call(zone, "/draft/new")
	call.Model, call.PromptTokens, call.OutputTokens, call.Timeout = modelName, 500, 50, 6*time.Second
	return call
}

// do sends a request and fails the test if there is no response.
func (i *installation) do(call platformtest.Request) platformtest.Response {
	i.t.Helper()
	response, err := platformtest.Do(i.network.ForProcess("caller").Dial, call)
	if err != nil {
		i.t.Errorf("%s %s: %v", call.Path, call.AttemptID, err)
	}
	return response
}

// runsOfAttempt returns the runs of an attempt and the endpoints that ran it.
func (i *installation) runsOfAttempt(attempt string) (runs []platformtest.Execution, endpoints []string) {
	for name, endpoint := range i.endpoints {
		for _, run := range endpoint.Executions() {
			if run.AttemptID == attempt {
				runs, endpoints = append(runs, run), append(endpoints, name)
			}
		}
	}
	return runs, endpoints
}

// setFaults sets the faults of all endpoints of a service.
func (i *installation) setFaults(service string, faults platformtest.EndpointFaults) {
	for _, endpoint := range i.endpoints {
		if endpoint.Service == service {
			endpoint.SetFaults(faults)
		}
	}
}

// ready reports whether a gateway is ready for requests.
func (i *installation) ready(zone int) bool {
	response, err := platformtest.Do(i.network.ForProcess("caller").Dial, platformtest.Request{
		Gateway: gatewayHost(zone) + ":8002", Method: fasthttp.MethodGet, Host: "ready", Path: "/-/readyz",
	})
	return err == nil && response.Status == fasthttp.StatusOK
}

// resolve returns the response of a gateway's directory to callers of the region, or an empty
// string if the request fails.
func (i *installation) resolve(zone int, region string) string {
	response, err := platformtest.Do(i.network.ForProcess("caller").Dial, platformtest.Request{
		Gateway: gatewayHost(zone) + ":8009", Method: fasthttp.MethodGet, Host: "directory",
		Path: platformtest.DirectoryPath(host, region, strings.Replace(region, "region", "zone", 1)),
	})
	if err != nil || response.Status != fasthttp.StatusOK {
		return ""
	}
	return response.Body
}
