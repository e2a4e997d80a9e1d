package lifecycle

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	zoneName      = "aso-a"
	regionName    = "aso"
	callersHost   = "aso.example"
	engineService = "drafts"
	modelName     = "draft"
	stableKey     = "key-of-aso"

	storeHost, originHost = 1, 2
	chunkCount            = 8
	chunkBytes            = 4 << 10
)

var (
	gatewayHosts  = []int{11, 12, 13}
	engineHosts   = []int{31, 32}
	plainServices = []string{"booking", "archive"}
)

// engineConfig is the configuration of the engines. An answer of 50 tokens takes a bit more
// than half a second.
var engineConfig = configuration.Engine{
	Slots: 8, TokensPerEvent: 5, StepTime: 10 * time.Millisecond, PrefillRate: 20_000, PrefillChunkTokens: 2048, Layers: 4, Chunks: chunkCount,
	ChunkBytes: chunkBytes, LoadTime: 300 * time.Millisecond, MeanPromptTokens: 500, MeanResponseTokens: 50,
}

// site is one installation of real processes on loopback addresses with fakes of the
// platform.
type site struct {
	t testing.TB
	// directory holds the settings files and the output of the processes.
	directory string
	// network is the number of the site's /24 network.
	network   int
	fakes     *concurrency.Group
	store     *platformtest.Store
	origin    *platformtest.Origin
	endpoints []*platformtest.Endpoint
	gateways  []*daemon
	loaders   []*daemon

	mu    sync.Mutex
	state platformtest.DesiredState
	// temporaryKey is a key that some desired states have.
	temporaryKey string
}

// manyHosts returns the hosts and those that follow first, count in all.
func manyHosts(hosts []int, first, count int) []int {
	all := slices.Clone(hosts)
	for host := first; len(all) < count; host++ {
		all = append(all, host)
	}
	return all
}

// Hosts of the further gateways and engines of a large site.
const (
	firstFurtherGateway = 51
	firstFurtherEngine  = 131
)

// newSite serves the fakes. It starts no process.
func newSite(t testing.TB) *site { return newSiteOf(t, len(gatewayHosts), len(engineHosts)) }

// newSiteOf is like newSite for a number of gateways and engines.
func newSiteOf(t testing.TB, gateways, engines int) *site {
	s := &site{t: t, directory: outputDirectory(t), fakes: concurrency.NewGroup(context.Background()), store: platformtest.NewStore()}
	s.origin = &platformtest.Origin{Model: modelName, Chunks: chunkCount, ChunkBytes: chunkBytes, Layers: engineConfig.Layers, NewestVersion: 1}
	s.serve(s.findNetwork(), s.store.Handle)
	s.serve(s.listen(s.address(originHost, originPort)), s.origin.Handle)
	for index, host := range []int{21, 22, 23, 24} {
		s.startEndpoint(host, plainServices[index%2], nil)
	}
	for _, host := range manyHosts(engineHosts, firstFurtherEngine, engines) {
		s.startEndpoint(host, engineService, platformtest.NewEngine(modelName, engineConfig, s.origin, 1))
		s.loaders = append(s.loaders, newDaemon(s, roleLoader, host))
	}
	for _, host := range manyHosts(gatewayHosts, firstFurtherGateway, gateways) {
		s.gateways = append(s.gateways, newDaemon(s, roleGateway, host))
	}
	s.state, s.temporaryKey = s.initialState(), stableKey
	s.store.Configure(s.state)
	return s
}

// outputDirectory returns a directory that remains if the test fails.
func outputDirectory(t testing.TB) string {
	directory, err := os.MkdirTemp("", "lifecycle-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings and output of the processes: %s", directory)
			return
		}
		_ = os.RemoveAll(directory)
	})
	return directory
}

// findNetwork selects a network in which nobody uses the store's address and listens on
// that address.
func (s *site) findNetwork() net.Listener {
	for range 100 {
		s.network = 256 + rand.IntN(1<<15)
		if listener, err := net.Listen("tcp4", s.address(storeHost, storePort)); err == nil {
			return listener
		}
	}
	s.t.Fatal("found no free network")
	return nil
}

func (s *site) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.network>>8, s.network&255, host)
}

func (s *site) address(host, port int) string { return fmt.Sprintf("%s:%d", s.ip(host), port) }

func (s *site) listen(address string) net.Listener {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		s.t.Fatal(err)
	}
	return listener
}

func (s *site) serve(listener net.Listener, handle fasthttp.RequestHandler) {
	s.fakes.Go(func(ctx context.Context) { platformtest.Serve(ctx, listener, handle) })
}

// restartDelay is how long an endpoint is away after a crash.
const restartDelay = 2 * time.Second

func (s *site) startEndpoint(host int, service string, engine *platformtest.Engine) {
	endpoint := &platformtest.Endpoint{
		ID: fmt.Sprintf("%s-%d", service, host), Incarnation: 1, Service: service, Address: s.address(host, endpointPort), Zone: zoneName,
		Slots: 16, ProcessingTime: 10 * time.Millisecond, RestartDelay: restartDelay, Engine: engine, Store: s.store,
	}
	if engine != nil {
		endpoint.Slots = engineConfig.Slots
	}
	first := s.listen(endpoint.Address)
	s.fakes.Go(func(ctx context.Context) {
		listen := func() (net.Listener, error) {
			if listener := first; listener != nil {
				first = nil
				return listener, nil
			}
			return net.Listen("tcp4", endpoint.Address)
		}
		if err := endpoint.ServeRestarting(ctx, listen); err != nil {
			s.t.Errorf("%s: %v", endpoint.ID, err)
		}
	})
	endpoint.Register("ready")
	s.endpoints = append(s.endpoints, endpoint)
}

// initialState returns a desired state with routes that stay, one that moves between the
// plain services and one that comes and goes.
func (s *site) initialState() platformtest.DesiredState {
	return platformtest.DesiredState{
		Version: 1,
		Routes: []platformtest.Route{
			{Name: "status", Host: callersHost, PathPrefix: "/status/", Kind: platformtest.Idempotent, Timeout: 5000, TargetLatency: 100, Service: "booking", MaxAttempts: 2},
			{Name: "book", Host: callersHost, PathPrefix: "/book/", Kind: platformtest.AtMostOnce, Timeout: 5000, TargetLatency: 100, Service: "booking", MaxAttempts: 2},
			{Name: "draft", Host: callersHost, PathPrefix: "/draft/", Kind: platformtest.Streaming, Timeout: 8000, TargetLatency: 500, TargetGap: 400, Service: engineService, MaxAttempts: 2},
			{Name: "open", Host: callersHost, PathPrefix: "/open/", Kind: platformtest.AtMostOnce, Timeout: 5000, TargetLatency: 100, Service: "archive", MaxAttempts: 1, Public: true},
			{Name: "trial", Host: callersHost, PathPrefix: "/trial/", Kind: platformtest.AtMostOnce, Timeout: 5000, TargetLatency: 100, Service: "archive", MaxAttempts: 1},
		},
		Services: []platformtest.Service{
			{Name: "booking", MaxConns: 200},
			{Name: "archive", MaxConns: 200},
			{Name: engineService, MaxConns: 200, Engine: &platformtest.EngineSpec{
				Slots: engineConfig.Slots, Stride: engineConfig.TokensPerEvent, StepTime: 10, PrefillRate: engineConfig.PrefillRate, PrefillChunkTokens: engineConfig.PrefillChunkTokens,
				Layers: engineConfig.Layers, Chunks: chunkCount, ChunkBytes: chunkBytes, MeanTokens: platformtest.MeanTokens{Prompt: 500, Answer: 50},
				Models: []platformtest.ModelEntry{{Name: modelName, LoadTime: 0.3}},
			}},
			{Name: "office", Origin: s.address(originHost, originPort), Zone: zoneName, LinkMbps: 100, MaxConns: 48},
		},
		Workspaces: []platformtest.Workspace{{Name: "aso", APIKeys: []string{stableKey}}},
		Limits:     platformtest.Limits{HeaderBytes: 8 << 10, BodyBytes: 4 << 20},
	}
}

// shortestTimeout is the shortest timeout that a route gets.
const shortestTimeout = 5 * time.Second

// configure applies a change to the desired state and writes it with the next version.
func (s *site) configure(change func(state *platformtest.DesiredState)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.state
	next.Routes = append([]platformtest.Route(nil), s.state.Routes...)
	next.Workspaces = append([]platformtest.Workspace(nil), s.state.Workspaces...)
	change(&next)
	next.Version += 3
	s.state = next
	keys := next.Workspaces[len(next.Workspaces)-1].APIKeys
	s.temporaryKey = keys[len(keys)-1]
	s.store.Configure(next)
}

// key returns a key that the desired state has, and whether it may be removed.
func (s *site) key() (key string, removable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.temporaryKey, s.temporaryKey != stableKey
}

// executions returns the executions of all endpoints by attempt.
func (s *site) executions() map[string][]platformtest.Execution {
	byAttempt := map[string][]platformtest.Execution{}
	for _, endpoint := range s.endpoints {
		for _, execution := range endpoint.Executions() {
			byAttempt[execution.AttemptID] = append(byAttempt[execution.AttemptID], execution)
		}
	}
	return byAttempt
}

// daemons returns the gateways and the loaders.
func (s *site) daemons() []*daemon {
	return append(append([]*daemon(nil), s.gateways...), s.loaders...)
}

// start starts all processes and waits until the gateways are ready.
func (s *site) start() {
	for _, d := range s.daemons() {
		d.start()
	}
	for _, d := range s.gateways {
		d.awaitReady()
	}
}

// close stops all processes at the same time, waits for their exit and stops the fakes.
func (s *site) close() {
	stops := concurrency.NewGroup(context.Background())
	for _, d := range s.daemons() {
		stops.Go(func(context.Context) { d.stop() })
	}
	stops.Wait()
	s.fakes.Stop()
	s.fakes.Wait()
}
