// Package system tests the guarantees of the whole system: entries, agents and
// fakes of the platform run in one synctest bubble with virtual time, connected by
// a fake network whose paths the tests disconnect and freeze.
package system

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/mimosaward/mimosaward/internal/agent"
	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/daemon"
	"github.com/mimosaward/mimosaward/internal/entry"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/routing"
	"github.com/mimosaward/mimosaward/internal/settings"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// TestMain serves one request outside of any bubble, because the HTTP library
// starts its clock once for the whole process.
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

// silentLogger discards the log output of the HTTP server.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

const (
	zoneCount          = 3
	startupTime        = 8 * time.Second
	libraryCleanupTime = 2 * time.Minute
	completionTokens   = 20
	coldLimit          = 2
	warmLimit          = 8
	unlimited          = 1 << 20
)

// system is a complete deployment in one synctest bubble.
type system struct {
	t              *testing.T
	config         deploymentConfig
	network        *fakes.Network
	objects        *fakes.ObjectStore
	instances      *fakes.InstanceStore
	origin         *fakes.OriginStore
	tickets        *ticketstore.Store
	tasks          *concurrency.Group
	processes      map[string]*process
	engines        map[string]*fakes.Engine
	services       map[string]*fakes.Service
	mu             sync.Mutex
	contentDigests map[string]weights.Digest
	processNames   []string
	client         *upstream.Client
	start          time.Time
}

// process is a running entry or agent.
type process struct {
	instance membership.Instance
	stop     context.CancelFunc
	done     chan struct{}
}

// deploymentConfig is the size of a deployment and its routing policy.
type deploymentConfig struct {
	// modelEndpoints is the number of model endpoints of each zone.
	modelEndpoints [zoneCount]int
	// admissionDisabled makes the agents admit every request.
	admissionDisabled bool
	// pick replaces the router's choice of an endpoint.
	pick func(request routing.Request, candidates []membership.Instance, load func(name string) float64) membership.Instance
}

// Numbers of model endpoints per zone: the default of the tests, and those of the
// users' sites.
var (
	smallDeployment     = [zoneCount]int{2, 2, 2}
	tegakiDeployment    = [zoneCount]int{4, 4, 4}
	cairnlochDeployment = [zoneCount]int{4, 4, 3}
)

// inBubble runs a test in a synctest bubble with a small deployment that serves
// version v1.
func inBubble(t *testing.T, test func(s *system)) {
	t.Helper()
	inBubbleWith(t, deploymentConfig{modelEndpoints: smallDeployment}, test)
}

func inBubbleWith(t *testing.T, config deploymentConfig, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, config)
		s.fileTicket(ticket.Ticket{Pools: []ticket.Pool{{Name: "booking", Kind: ticket.ServicePool}}, Workspaces: []ticket.Workspace{{Name: "aso-care", Priority: 2, MaxShare: 100}}})
		s.rollOut("v1")
		time.Sleep(startupTime)
		test(s)
		s.close()
	})
}

func newSystem(t *testing.T, config deploymentConfig) *system {
	t.Helper()
	s := &system{
		t: t, config: config, network: fakes.NewNetwork(), objects: fakes.NewObjectStore(), instances: &fakes.InstanceStore{Lag: 500 * time.Millisecond},
		origin: &fakes.OriginStore{}, tasks: concurrency.NewGroup(context.Background()), processes: map[string]*process{},
		engines: map[string]*fakes.Engine{}, services: map[string]*fakes.Service{}, contentDigests: map[string]weights.Digest{}, start: time.Now(),
	}
	s.tickets = &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: s.objects.RoundTrip}}
	s.client = (&upstream.Client{Dial: s.network.ForProcess("caller").Dial, FirstByteTimeout: 20 * time.Second, IdleTimeout: 20 * time.Second}).Init()
	s.serve("origin", "origin:80", fakes.HTTPApp(s.origin.RoundTrip))
	for zone := range zoneCount {
		s.startEntry(zone)
		for index := range config.modelEndpoints[zone] {
			s.startModelEndpoint(fmt.Sprintf("draft-%d-%d", zone, index), zone)
		}
		s.startBookingService(fmt.Sprintf("booking-%d", zone), zone)
	}
	time.Sleep(startupTime)
	return s
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// serve starts the HTTP server of a fake.
func (s *system) serve(owner, address string, app *fiber.App) {
	listener, err := s.network.ForProcess(owner).Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: app.Handler(), MaxRequestBodySize: 64 << 20, CloseOnShutdown: true, Logger: silentLogger{}}
	s.tasks.Go(func(context.Context) { _ = server.Serve(listener) })
	s.tasks.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
		shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(shutdown)
	})
}

// platformFor returns the platform's APIs as the named process sees them. Calls
// time out while the process is disconnected from the whole platform or from the
// API that it calls.
func (s *system) platformFor(name string) daemon.Platform {
	withDisconnects := func(service string, http platformclient.RoundTripFunc) platformclient.RoundTripFunc {
		disconnected := func() bool {
			return s.network.IsDisconnected(name, "platform") || s.network.IsDisconnected(name, service)
		}
		return func(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
			if disconnected() {
				return 0, nil, context.DeadlineExceeded
			}
			time.Sleep(2 * time.Millisecond)
			status, response, err := http(ctx, method, url, body)
			if disconnected() {
				return 0, nil, context.DeadlineExceeded
			}
			return status, response, err
		}
	}
	return daemon.Platform{ObjectAPI: withDisconnects("objects", s.objects.RoundTrip), InstanceList: withDisconnects("instances", s.instances.RoundTrip)}
}

var platformSettings = settings.Platform{ObjectAPI: "http://objects", InstanceList: "http://instances"}

func (s *system) startEntry(zone int) {
	name := fmt.Sprintf("entry-%d", zone)
	config := settings.DefaultEntry()
	config.Instance = settings.Instance{Name: name, AvailabilityZone: zoneName(zone), Region: zoneName(zone)}
	config.Platform = platformSettings
	config.CallersAddress, config.ControlAddress, config.AdminAddress = name+":80", name+":81", name+":82"
	config.AddressTTL, config.Routing.CallTimeout = 2*time.Second, 3*time.Second
	process := &entry.Entry{Settings: config, Platform: s.platformFor(name), Network: s.network.ForProcess(name), Log: event.Discard(), Pick: s.config.pick}
	s.startProcess(membership.Instance{
		Name: name, Role: membership.EntryRole, AvailabilityZone: zoneName(zone), Region: zoneName(zone), Status: membership.Live,
		CallersAddress: config.CallersAddress, ControlAddress: config.ControlAddress,
	}, process.Run)
}

func (s *system) startModelEndpoint(name string, zone int) {
	engine := &fakes.Engine{WarmLimit: warmLimit, ColdLimit: coldLimit, ColdStartDuration: time.Second, FirstTokenLatency: 50 * time.Millisecond, TokenInterval: 10 * time.Millisecond}
	s.engines[name] = engine
	s.serve(name, name+":90", engine.App())
	s.startAgent(name, "drafting", "model", zone)
}

func (s *system) startBookingService(name string, zone int) {
	service := &fakes.Service{Latency: 20 * time.Millisecond}
	s.services[name] = service
	s.serve(name, name+":90", service.App())
	s.startAgent(name, "booking", "service", zone)
}

func (s *system) startAgent(name, pool, kind string, zone int) {
	config := settings.DefaultAgent()
	config.Instance = settings.Instance{Name: name, AvailabilityZone: zoneName(zone), Region: zoneName(zone)}
	config.Platform = platformSettings
	config.WorkAddress, config.ControlAddress, config.AdminAddress = name+":80", name+":81", name+":82"
	config.Endpoint = settings.Endpoint{URL: "http://" + name + ":90", Pool: pool, Kind: kind, WarmLimit: warmLimit, ColdLimit: coldLimit, ColdLatency: 150 * time.Millisecond}
	config.Weights.OriginURL, config.Weights.HomeRegion, config.Weights.ChunkMemory = "http://origin:80", zoneName(0), 16*bytesize.MiB
	config.Weights.LinkRate = bytesize.MiB
	if s.config.admissionDisabled {
		config.Endpoint.WarmLimit, config.Endpoint.ColdLimit, config.Endpoint.ColdLatency = unlimited, unlimited, time.Hour
	}
	process := &agent.Agent{Settings: config, Platform: s.platformFor(name), Network: s.network.ForProcess(name), Log: event.Discard()}
	s.startProcess(membership.Instance{
		Name: name, Role: membership.AgentRole, AvailabilityZone: zoneName(zone), Region: zoneName(zone), Status: membership.Live,
		Pool: pool, WorkAddress: config.WorkAddress, ControlAddress: config.ControlAddress,
	}, process.Run)
}

func (s *system) startProcess(instance membership.Instance, run func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	started := &process{instance: instance, stop: stop, done: make(chan struct{})}
	s.processes[instance.Name] = started
	if !slices.Contains(s.processNames, instance.Name) {
		s.processNames = append(s.processNames, instance.Name)
	}
	s.instances.Set(instance)
	s.tasks.Go(func(context.Context) {
		defer close(started.done)
		if err := run(ctx); err != nil {
			s.t.Errorf("%s: %v", instance.Name, err)
		}
	})
}

// close stops all processes and waits until the cleanup goroutines of the libraries
// exit.
func (s *system) close() {
	for _, running := range s.processes {
		running.stop()
	}
	for _, running := range s.processes {
		<-running.done
	}
	s.client.Close()
	s.tasks.Stop()
	s.tasks.Wait()
	time.Sleep(libraryCleanupTime)
}

// fileTicket files a ticket.
func (s *system) fileTicket(newTicket ticket.Ticket) {
	s.t.Helper()
	newTicket.Operator = "test"
	if _, err := s.tickets.File(context.Background(), newTicket, uuid.NewString()); err != nil {
		s.t.Fatal(err)
	}
}

// rollOut publishes a version and files a ticket for it. It returns the digest of
// the manifest, which identifies the weight set.
func (s *system) rollOut(version string) string {
	s.t.Helper()
	published, err := s.origin.Publish("draft", version, 1<<10, 24<<10)
	if err != nil {
		s.t.Fatal(err)
	}
	s.recordContent(published)
	s.fileTicket(ticket.Ticket{Pools: []ticket.Pool{{
		Name: "drafting", Kind: ticket.ModelPool, Model: "draft", Version: version, Manifest: published.Manifest.String(), Replicas: 6, MaxSwapping: 2,
	}}})
	return published.Manifest.String()
}

// recordContent stores the content digest of a published set, which determines the
// tokens that engines generate from it.
func (s *system) recordContent(published fakes.PublishResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contentDigests[published.Manifest.String()] = published.Content
}

func (s *system) contentDigest(set string) weights.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contentDigests[set]
}

// setZoneInService files a ticket that takes a zone out of service or back into service.
func (s *system) setZoneInService(zone int, inService bool) {
	s.t.Helper()
	s.fileTicket(ticket.Ticket{Zones: []ticket.Zone{{Name: zoneName(zone), InService: inService}}})
}

// outsideZone returns the names of all processes outside the zone, and the platform.
func (s *system) outsideZone(zone int) []string {
	names := []string{"platform"}
	for _, name := range s.processNames {
		if s.processes[name].instance.AvailabilityZone != zoneName(zone) {
			names = append(names, name)
		}
	}
	return names
}

// inZone returns the names of the processes of a zone.
func (s *system) inZone(zone int) []string {
	var names []string
	for _, name := range s.processNames {
		if s.processes[name].instance.AvailabilityZone == zoneName(zone) {
			names = append(names, name)
		}
	}
	return names
}

// zoneRequests returns the number of chat completions that the engines of a zone
// have received.
func (s *system) zoneRequests(zone int) int64 {
	var total int64
	for name, engine := range s.engines {
		if s.processes[name].instance.AvailabilityZone == zoneName(zone) {
			total += engine.Counts().ChatCompletions
		}
	}
	return total
}
