// Package system tests the promises of the whole system: entries, agents and
// fakes of the platform run in one bubble of virtual time, joined by a network
// whose paths the tests cut and freeze.
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

// TestMain serves one request outside of any bubble, since the HTTP library
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

// silentLogger drops the HTTP server's own lines.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

const (
	zones       = 3
	settle      = 8 * time.Second
	cleanUp     = 2 * time.Minute
	draftTokens = 20
	coldLimit   = 2
	warmLimit   = 8
	noLimit     = 1 << 20
)

// system is a whole installation in one bubble.
type system struct {
	t         *testing.T
	shape     shape
	network   *fakes.Network
	objects   *fakes.ObjectStore
	instances *fakes.InstanceStore
	origin    *fakes.OriginStore
	desk      *ticketstore.Store
	fakes     *concurrency.Group
	nodes     map[string]*running
	engines   map[string]*fakes.Engine
	services  map[string]*fakes.Service
	mu        sync.Mutex
	contents  map[string]weights.Digest
	names     []string
	client    *upstream.Client
	start     time.Time
}

// running is one process.
type running struct {
	instance membership.Instance
	stop     context.CancelFunc
	done     chan struct{}
}

// shape is the size of an installation and the way it routes.
type shape struct {
	// drafts are the model endpoints of each zone.
	drafts [zones]int
	// ungated lets every request through to the endpoints.
	ungated bool
	// pick replaces the router's choice.
	pick func(request routing.Request, candidates []membership.Instance, load func(name string) float64) membership.Instance
}

// Model endpoints of each zone: of most tests, and of the users' sites.
var (
	smallDrafts     = [zones]int{2, 2, 2}
	tegakiDrafts    = [zones]int{4, 4, 4}
	cairnlochDrafts = [zones]int{4, 4, 3}
)

// inBubble runs a test with a whole installation that serves version v1.
func inBubble(t *testing.T, test func(s *system)) {
	t.Helper()
	inBubbleOf(t, shape{drafts: smallDrafts}, test)
}

func inBubbleOf(t *testing.T, of shape, test func(s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, of)
		s.file(ticket.Ticket{Pools: []ticket.Pool{{Name: "booking", Kind: ticket.ServicePool}}, Workspaces: []ticket.Workspace{{Name: "aso-care", Priority: 2, MaxShare: 100}}})
		s.rollOut("v1")
		time.Sleep(settle)
		test(s)
		s.close()
	})
}

func newSystem(t *testing.T, of shape) *system {
	t.Helper()
	s := &system{
		t: t, shape: of, network: fakes.NewNetwork(), objects: fakes.NewObjectStore(), instances: &fakes.InstanceStore{Lag: 500 * time.Millisecond},
		origin: &fakes.OriginStore{}, fakes: concurrency.NewGroup(context.Background()), nodes: map[string]*running{},
		engines: map[string]*fakes.Engine{}, services: map[string]*fakes.Service{}, contents: map[string]weights.Digest{}, start: time.Now(),
	}
	s.desk = &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: s.objects.RoundTrip}}
	s.client = (&upstream.Client{Dial: s.network.ForProcess("caller").Dial, FirstByteTimeout: 20 * time.Second, IdleTimeout: 20 * time.Second}).Open()
	s.serve("origin", "origin:80", fakes.HTTPApp(s.origin.RoundTrip))
	for zone := range zones {
		s.startEntry(zone)
		for index := range of.drafts[zone] {
			s.startDraft(fmt.Sprintf("draft-%d-%d", zone, index), zone)
		}
		s.startBooking(fmt.Sprintf("booking-%d", zone), zone)
	}
	time.Sleep(settle)
	return s
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// serve runs a fake endpoint.
func (s *system) serve(owner, address string, app *fiber.App) {
	listener, err := s.network.ForProcess(owner).Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: app.Handler(), MaxRequestBodySize: 64 << 20, CloseOnShutdown: true, Logger: silentLogger{}}
	s.fakes.Go(func(context.Context) { _ = server.Serve(listener) })
	s.fakes.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
		shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(shutdown)
	})
}

// reach returns the platform as a process reaches it: not at all if the path
// is cut, to the platform as a whole or to its object API.
func (s *system) reach(name string) daemon.Platform {
	reach := func(service string, http platformclient.HTTPFunc) platformclient.HTTPFunc {
		cut := func() bool {
			return s.network.IsDisconnected(name, "platform") || s.network.IsDisconnected(name, service)
		}
		return func(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
			if cut() {
				return 0, nil, context.DeadlineExceeded
			}
			time.Sleep(2 * time.Millisecond)
			status, answer, err := http(ctx, method, url, body)
			if cut() {
				return 0, nil, context.DeadlineExceeded
			}
			return status, answer, err
		}
	}
	return daemon.Platform{ObjectAPI: reach("objects", s.objects.RoundTrip), InstanceList: reach("instances", s.instances.RoundTrip)}
}

var platformSettings = settings.Platform{ObjectAPI: "http://objects", InstanceList: "http://instances"}

func (s *system) startEntry(zone int) {
	name := fmt.Sprintf("entry-%d", zone)
	loaded := settings.DefaultEntry()
	loaded.Instance = settings.Instance{Name: name, AvailabilityZone: zoneName(zone), Region: zoneName(zone)}
	loaded.Platform = platformSettings
	loaded.CallersAddress, loaded.ControlAddress, loaded.AdminAddress = name+":80", name+":81", name+":82"
	loaded.AddressTTL, loaded.Routing.CallTimeout = 2*time.Second, 3*time.Second
	process := &entry.Entry{Settings: loaded, Platform: s.reach(name), Network: s.network.ForProcess(name), Log: event.Discard(), Pick: s.shape.pick}
	s.run(membership.Instance{
		Name: name, Role: membership.EntryRole, AvailabilityZone: zoneName(zone), Region: zoneName(zone), Status: membership.Live,
		CallersAddress: loaded.CallersAddress, ControlAddress: loaded.ControlAddress,
	}, process.Run)
}

func (s *system) startDraft(name string, zone int) {
	engine := &fakes.Engine{WarmLimit: warmLimit, ColdLimit: coldLimit, ColdStartDuration: time.Second, FirstTokenLatency: 50 * time.Millisecond, TokenInterval: 10 * time.Millisecond}
	s.engines[name] = engine
	s.serve(name, name+":90", engine.App())
	s.startAgent(name, "drafting", "model", zone)
}

func (s *system) startBooking(name string, zone int) {
	service := &fakes.Service{Latency: 20 * time.Millisecond}
	s.services[name] = service
	s.serve(name, name+":90", service.App())
	s.startAgent(name, "booking", "service", zone)
}

func (s *system) startAgent(name, pool, kind string, zone int) {
	loaded := settings.DefaultAgent()
	loaded.Instance = settings.Instance{Name: name, AvailabilityZone: zoneName(zone), Region: zoneName(zone)}
	loaded.Platform = platformSettings
	loaded.WorkAddress, loaded.ControlAddress, loaded.AdminAddress = name+":80", name+":81", name+":82"
	loaded.Endpoint = settings.Endpoint{URL: "http://" + name + ":90", Pool: pool, Kind: kind, WarmLimit: warmLimit, ColdLimit: coldLimit, ColdLatency: 150 * time.Millisecond}
	loaded.Weights.OriginURL, loaded.Weights.HomeRegion, loaded.Weights.ChunkMemory = "http://origin:80", zoneName(0), 16*bytesize.MiB
	loaded.Weights.LinkRate = bytesize.MiB
	if s.shape.ungated {
		loaded.Endpoint.WarmLimit, loaded.Endpoint.ColdLimit, loaded.Endpoint.ColdLatency = noLimit, noLimit, time.Hour
	}
	process := &agent.Agent{Settings: loaded, Platform: s.reach(name), Network: s.network.ForProcess(name), Log: event.Discard()}
	s.run(membership.Instance{
		Name: name, Role: membership.AgentRole, AvailabilityZone: zoneName(zone), Region: zoneName(zone), Status: membership.Live,
		Pool: pool, WorkAddress: loaded.WorkAddress, ControlAddress: loaded.ControlAddress,
	}, process.Run)
}

func (s *system) run(instance membership.Instance, run func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	started := &running{instance: instance, stop: stop, done: make(chan struct{})}
	s.nodes[instance.Name] = started
	if !slices.Contains(s.names, instance.Name) {
		s.names = append(s.names, instance.Name)
	}
	s.instances.Set(instance)
	s.fakes.Go(func(context.Context) {
		defer close(started.done)
		if err := run(ctx); err != nil {
			s.t.Errorf("%s: %v", instance.Name, err)
		}
	})
}

// close stops everything and lets the cleaners of the libraries end.
func (s *system) close() {
	for _, node := range s.nodes {
		node.stop()
	}
	for _, node := range s.nodes {
		<-node.done
	}
	s.client.Close()
	s.fakes.Stop()
	s.fakes.Wait()
	time.Sleep(cleanUp)
}

// file files a ticket.
func (s *system) file(filed ticket.Ticket) {
	s.t.Helper()
	filed.Operator = "test"
	if _, err := s.desk.File(context.Background(), filed, uuid.NewString()); err != nil {
		s.t.Fatal(err)
	}
}

// rollOut publishes a version and files its ticket.
func (s *system) rollOut(version string) string {
	s.t.Helper()
	published, err := s.origin.Publish("draft", version, 1<<10, 24<<10)
	if err != nil {
		s.t.Fatal(err)
	}
	s.noteContent(published)
	s.file(ticket.Ticket{Pools: []ticket.Pool{{
		Name: "drafting", Kind: ticket.ModelPool, Model: "draft", Version: version, Manifest: published.Manifest.String(), Replicas: 6, MaxSwapping: 2,
	}}})
	return published.Manifest.String()
}

// noteContent remembers what the text of a published set depends on.
func (s *system) noteContent(published fakes.PublishResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents[published.Manifest.String()] = published.Content
}

func (s *system) contentOf(set string) weights.Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents[set]
}

// zone files a ticket that takes a zone out or brings it back.
func (s *system) zone(zone int, inService bool) {
	s.t.Helper()
	s.file(ticket.Ticket{Zones: []ticket.Zone{{Name: zoneName(zone), InService: inService}}})
}

// others returns every process but those of the zone, and the platform.
func (s *system) others(zone int) []string {
	names := []string{"platform"}
	for _, name := range s.names {
		if s.nodes[name].instance.AvailabilityZone != zoneName(zone) {
			names = append(names, name)
		}
	}
	return names
}

// inZone returns the processes of a zone.
func (s *system) inZone(zone int) []string {
	var names []string
	for _, name := range s.names {
		if s.nodes[name].instance.AvailabilityZone == zoneName(zone) {
			names = append(names, name)
		}
	}
	return names
}

// work counts the drafts that the engines of a zone got.
func (s *system) work(zone int) int64 {
	var total int64
	for name, engine := range s.engines {
		if s.nodes[name].instance.AvailabilityZone == zoneName(zone) {
			total += engine.Counts().ChatCompletions
		}
	}
	return total
}
