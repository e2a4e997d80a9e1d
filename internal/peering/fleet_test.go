package peering_test

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// The kinds of objects that the gateways of a fleet hold.
const (
	configurationKind = "configuration"
	endpointKind      = "endpoints"
	memberKind        = "gateways"
)

// smallFleet and largeFleet are the numbers of gateways in each region: a fleet of one cell
// and one of eleven cells.
var (
	smallFleet = []int{2, 1, 1}
	largeFleet = []int{10, 13, 13, 12, 11}
)

// runningFleet is a set of gateways that run peering and hold copies of the objects of a store. All
// gateways act at the same ticks, so that a message that passes several gateways waits for
// almost a whole interval at each of them.
type runningFleet struct {
	t        *testing.T
	network  *fakes.Network
	store    *sharedStore
	gateways []*fleetGateway
	loaded   bool
}

// fleetGateway is a gateway of a fleet.
type fleetGateway struct {
	fleet     *runningFleet
	member    peering.Member
	table     *peering.Table
	group     *concurrency.Group
	informers []*informer.Informer
	copies    map[string]*informer.Informer
	startedAt time.Time
	notReady  atomic.Bool
	stopping  atomic.Bool
	slots     atomic.Int64
	// running is false after the gateway was stopped.
	running bool
	// silent is true while calls for copies to this gateway receive no response.
	silent atomic.Bool
}

// silentConn is a connection that loses what is written while silent is true.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

// Write implements net.Conn.
func (c *silentConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// newFleet returns a fleet with a store, whose gateways are not yet started.
func newFleet(t *testing.T, regions []int, loaded bool) *runningFleet {
	t.Helper()
	f := &runningFleet{t: t, network: fakes.NewNetwork(), store: newSharedStore(), loaded: loaded}
	f.store.write(configurationKind, "main")
	f.store.write(endpointKind, "endpoint")
	for region, count := range regions {
		for index := range count {
			f.gateways = append(f.gateways, &fleetGateway{fleet: f, member: peering.Member{
				Name: fmt.Sprintf("gateway-%d-%02d", region, index), Region: fmt.Sprint("region-", region), AvailabilityZone: fmt.Sprint("zone-", region),
				Control: fmt.Sprintf("gateway-%d-%02d:81", region, index), Incarnation: 1,
			}})
		}
	}
	return f
}

// startAll starts every gateway and waits until the fleet has settled.
func (f *runningFleet) startAll() {
	f.start(f.gateways)
}

// start starts gateways and waits until they have settled.
func (f *runningFleet) start(gateways []*fleetGateway) {
	for _, g := range gateways {
		g.start()
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	f.endWatches()
}

// endWatches changes every kind, which ends the watches that gateways have left open that no
// longer read the store, and waits until the changes have spread.
func (f *runningFleet) endWatches() {
	for _, kind := range []string{configurationKind, endpointKind} {
		f.store.write(kind, "first")
	}
	first := f.gateways[0]
	f.store.put(memberKind, first.member.Name, first.record())
	time.Sleep(2 * time.Second)
}

// stopAll stops every gateway that runs.
func (f *runningFleet) stopAll() {
	for _, g := range f.gateways {
		f.network.Unfreeze(g.member.Name, f.names()...)
	}
	for _, g := range f.gateways {
		if g.running {
			g.stop()
		}
	}
	f.store.close()
}

func (f *runningFleet) names() []string {
	var names []string
	for _, g := range f.gateways {
		names = append(names, g.member.Name)
	}
	return names
}

// seeds returns the control addresses of the first gateways of up to three regions.
func (f *runningFleet) seeds() []string {
	var seeds []string
	regions := map[string]bool{}
	for _, g := range f.gateways {
		if !regions[g.member.Region] && len(seeds) < 3 {
			regions[g.member.Region] = true
			seeds = append(seeds, g.member.Control)
		}
	}
	return seeds
}

// start starts the gateway as gateway.Gateway does.
func (g *fleetGateway) start() {
	f := g.fleet
	f.t.Helper()
	host := f.network.ForProcess(g.member.Name)
	dial := func(_ context.Context, address string) (net.Conn, error) { return host.Dial(address) }
	dialBulk := func(_ context.Context, address string) (net.Conn, error) {
		conn, err := host.Dial(address)
		if err != nil {
			return nil, err
		}
		index := slices.IndexFunc(f.gateways, func(other *fleetGateway) bool { return other.member.Control == address })
		return &silentConn{Conn: conn, silent: &f.gateways[index].silent}, nil
	}
	g.startedAt, g.running = time.Now(), true
	g.table, g.group = &peering.Table{Self: g.member, Start: g.startedAt}, concurrency.NewGroup(context.Background())
	g.copies, g.informers = map[string]*informer.Informer{}, nil
	g.stopping.Store(false)
	for kind, delay := range map[string]time.Duration{configurationKind: 100 * time.Millisecond, endpointKind: 400 * time.Millisecond, memberKind: time.Second} {
		local := &informer.Informer{
			Kind: kind, CoalesceDelay: delay, Reads: g.table.IsReader, OnChange: func(informer.Snapshot) {},
			List: func(ctx context.Context, kind, _ string) (informer.Page, error) {
				return f.store.list(ctx, g.member.Name, kind)
			},
			Watch: func(ctx context.Context, kind string, after int64) (informer.Batch, error) {
				return f.store.watch(ctx, g.member.Name, kind, after)
			},
		}
		if kind == memberKind {
			local.OnChange = func(snapshot informer.Snapshot) { g.applyMembers(snapshot) }
		}
		g.copies[kind] = local
		g.group.Go(local.Run)
		g.informers = append(g.informers, local)
	}
	peers := &peering.Peering{
		Self: g.member, Table: g.table, Control: &controlrpc.Client{Dial: dial}, BulkControl: &controlrpc.Client{Dial: dialBulk}, Log: event.Discard(),
		Digest: g.digest, Informers: g.informers, Seeds: f.seeds(), OnDigest: func(peering.Digest) {},
	}
	server := controlrpc.NewServer()
	if err := peers.Register(server); err != nil {
		f.t.Fatal(err)
	}
	listener, err := host.Listen(g.member.Control)
	if err != nil {
		f.t.Fatal(err)
	}
	g.group.Go(func(ctx context.Context) { server.Run(ctx, listener) })
	g.group.Go(peers.Run)
	g.group.Go(peers.SyncCopies)
	f.store.put(memberKind, g.member.Name, g.record())
}

// record returns the value that the gateway registers in the store.
func (g *fleetGateway) record() json.RawMessage {
	value, err := json.Marshal(g.member)
	if err != nil {
		g.fleet.t.Error(err)
	}
	return value
}

func (g *fleetGateway) applyMembers(snapshot informer.Snapshot) {
	for _, object := range snapshot.Objects {
		var member peering.Member
		if err := json.Unmarshal(object.Value, &member); err != nil {
			g.fleet.t.Error(err)
		}
		g.table.AddMember(member)
	}
}

// stop ends the gateway as a kill does: its connections are closed.
func (g *fleetGateway) stop() {
	g.running = false
	g.group.Stop()
	g.fleet.network.CloseConnections(g.member.Name)
	g.group.Wait()
}

// cutOff stops all traffic of the gateway without closing its connections.
func (g *fleetGateway) cutOff() {
	g.fleet.network.Freeze(g.member.Name, g.fleet.names()...)
	g.fleet.store.cut(g.member.Name, true)
}

// reconnect reverses cutOff.
func (g *fleetGateway) reconnect() {
	g.fleet.network.Unfreeze(g.member.Name, g.fleet.names()...)
	g.fleet.store.cut(g.member.Name, false)
}

func (g *fleetGateway) readsStore() bool {
	for _, local := range g.copies {
		if unavailableSince, _ := local.Availability(); !unavailableSince.IsZero() || local.Revision() == 0 {
			return false
		}
	}
	return g.table.IsReader()
}

func (g *fleetGateway) digest() peering.Digest {
	digest := peering.Digest{Ready: !g.notReady.Load() && !g.stopping.Load(), Stopping: g.stopping.Load(), ReadsStore: g.readsStore()}
	digest.Capacities = []peering.Capacity{{Service: "drafts", Endpoints: 4, Slots: 32, Free: int(g.slots.Load())}}
	if g.fleet.loaded {
		for index := range 4 {
			digest.Loads = append(digest.Loads, peering.Load{Endpoint: fmt.Sprint("engine-", index), Running: 3, Unread: 2000})
		}
	}
	return digest
}

// peer returns the state of another gateway, empty if it is not alive.
func (g *fleetGateway) peer(other *fleetGateway) peering.Peer {
	for _, peer := range g.table.Alive() {
		if peer.Digest.Member.Name == other.member.Name {
			return peer
		}
	}
	return peering.Peer{}
}

// lists reports whether the gateway would name another one in its directory.
func (g *fleetGateway) lists(other *fleetGateway) bool { return g.listed()[other.member.Name] }

// listed returns the names of the other gateways that the gateway would name in its directory.
func (g *fleetGateway) listed() map[string]bool {
	listed := map[string]bool{}
	for _, peer := range g.table.Alive() {
		if peer.Digest.Ready && !peer.Digest.Stopping {
			listed[peer.Digest.Member.Name] = true
		}
	}
	return listed
}

// hasObject reports whether the gateway's copy has an object at a revision or a newer one.
func (g *fleetGateway) hasObject(kind, name string, revision int64) bool {
	snapshot, _ := g.copies[kind].Snapshot()
	return snapshot.Objects[name].Revision >= revision
}

// hasCopies reports whether the gateway has a copy of the configuration and the endpoints.
func (g *fleetGateway) hasCopies() bool {
	return g.copies[configurationKind].Revision() > 0 && g.copies[endpointKind].Revision() > 0
}

// readers returns the gateways that read the store, ordered by name.
func (f *runningFleet) readers() []*fleetGateway {
	var readers []*fleetGateway
	for _, g := range f.gateways {
		if g.running && g.readsStore() {
			readers = append(readers, g)
		}
	}
	return readers
}

// measureResolution is how often a fleet is checked for a change.
const measureResolution = 50 * time.Millisecond

// measureLimit is how long a change is waited for.
const measureLimit = 12 * time.Second

// measure returns the time until have is true for all running gateways except some.
func (f *runningFleet) measure(have func(*fleetGateway) bool, except ...*fleetGateway) time.Duration {
	start := time.Now()
	for time.Since(start) < measureLimit {
		missing := slices.ContainsFunc(f.gateways, func(g *fleetGateway) bool { return g.running && !slices.Contains(except, g) && !have(g) })
		if !missing {
			break
		}
		time.Sleep(measureResolution)
	}
	return time.Since(start)
}

// sharedStore is an object store whose watches report changes at once. Processes can be cut
// off from it.
type sharedStore struct {
	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]informer.Object
	history  []storedChange
	changed  chan struct{}
	cutOff   map[string]bool
	done     chan struct{}
	// silent is closed when the open watches fall silent.
	silent chan struct{}
}

type storedChange struct {
	kind   string
	change informer.Change
}

// keepAliveTimeout is the time after which a process detects that a connection is dead, with
// the socket options that gateways set, and connectTimeout that of a new connection.
const (
	keepAliveTimeout = 3 * time.Second
	connectTimeout   = 300 * time.Millisecond
)

var errCutOff = errors.New("the object store does not respond")

func newSharedStore() *sharedStore {
	return &sharedStore{objects: map[string]map[string]informer.Object{}, changed: make(chan struct{}), cutOff: map[string]bool{}, done: make(chan struct{}), silent: make(chan struct{})}
}

func (s *sharedStore) close() { close(s.done) }

// write changes an object and returns the new revision.
func (s *sharedStore) write(kind, name string) int64 {
	return s.put(kind, name, json.RawMessage("{}"))
}

func (s *sharedStore) put(kind, name string, value json.RawMessage) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]informer.Object{}
	}
	object := informer.Object{Name: name, Revision: s.revision, Value: value}
	s.objects[kind][name] = object
	s.record(kind, informer.Change{Object: object})
	return s.revision
}

func (s *sharedStore) record(kind string, change informer.Change) {
	s.history = append(s.history, storedChange{kind: kind, change: change})
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove deletes an object.
func (s *sharedStore) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.objects[kind], name)
	s.record(kind, informer.Change{Object: informer.Object{Name: name, Revision: s.revision}, Deleted: true})
}

// cut disconnects a process from the store, or connects it again.
func (s *sharedStore) cut(process string, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff[process] = cutOff
	close(s.changed)
	s.changed = make(chan struct{})
}

// silenceWatches makes the connections of all open watches fall silent; new ones work.
func (s *sharedStore) silenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.silent)
	s.silent = make(chan struct{})
}

func (s *sharedStore) list(ctx context.Context, process, kind string) (informer.Page, error) {
	s.mu.Lock()
	cutOff := s.cutOff[process]
	objects := slices.SortedFunc(maps.Values(s.objects[kind]), func(a, b informer.Object) int { return cmp.Compare(a.Name, b.Name) })
	page := informer.Page{Objects: objects, Revision: s.revision}
	s.mu.Unlock()
	if cutOff {
		concurrency.Sleep(ctx, connectTimeout)
		return informer.Page{}, errCutOff
	}
	return page, nil
}

func (s *sharedStore) watch(ctx context.Context, process, kind string, after int64) (informer.Batch, error) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	for {
		batch, changed, cutOff := s.changesAfter(process, kind, after)
		switch {
		case cutOff:
			concurrency.Sleep(ctx, keepAliveTimeout)
			return informer.Batch{}, errCutOff
		case len(batch.Changes) > 0:
			return batch, nil
		}
		select {
		case <-silent:
			concurrency.Sleep(ctx, keepAliveTimeout)
			return informer.Batch{}, errCutOff
		case <-changed:
		case <-s.done:
			return informer.Batch{}, errCutOff
		case <-ctx.Done():
			return informer.Batch{}, ctx.Err()
		}
	}
}

func (s *sharedStore) changesAfter(process, kind string, after int64) (batch informer.Batch, changed <-chan struct{}, cutOff bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch.Revision = s.revision
	for _, stored := range s.history {
		if stored.kind == kind && stored.change.Object.Revision > after {
			batch.Changes = append(batch.Changes, stored.change)
		}
	}
	return batch, s.changed, s.cutOff[process]
}
