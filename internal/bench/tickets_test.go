package bench

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/relay"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	// ticketBound is the deadline for a ticket to be in force in all processes.
	ticketBound = 10 * time.Second
	// controlBytesBound is the budget of a process for control traffic, in bytes per
	// second.
	controlBytesBound = 3 << 10
	// ticketsADay is the ticket rate of a deployment of the planned size.
	ticketsADay    = 38_000
	measureSeconds = 60
	warmUp         = 20 * time.Second
)

// ticketMeasurement holds the measurements of the propagation of tickets.
type ticketMeasurement struct {
	Figure                string  `json:"figure"`
	Processes             int     `json:"processes"`
	Zones                 int     `json:"zones"`
	TicketsPerSecond      float64 `json:"ticketsPerSecond"`
	SecondsToEverywhere   float64 `json:"secondsToEverywhere"`
	StoreReadsPerSecond   float64 `json:"storeReadsPerSecond"`
	StoreWritesPerSecond  float64 `json:"storeWritesPerSecond"`
	LeafBytesPerSecond    float64 `json:"leafBytesPerSecond"`
	RelayBytesPerSecond   float64 `json:"relayBytesPerSecond"`
	ReaderBytesPerSecond  float64 `json:"readerBytesPerSecond"`
	WorstCallsPerSecond   float64 `json:"worstCallsPerSecond"`
	StoreReadsAfterOutage float64 `json:"storeReadsAfterOutagePerSecond"`
	StoreCallsRefused     int64   `json:"storeCallsRefused"`
}

// member is a process that runs only the relay.
type member struct {
	relay  *relay.Relay
	client *controlrpc.Client
	server *controlrpc.Server
	self   membership.Instance
	// initialBytes and initialCalls are the counters of control bytes and of calls at
	// the start of the measurement.
	initialBytes int64
	initialCalls int64
}

func (m *member) bytes() int64 {
	received, sent := m.client.Bytes()
	servedIn, servedOut := m.server.Bytes()
	return received + sent + servedIn + servedOut
}

// fleet is a set of relay processes in one synctest bubble.
type fleet struct {
	t         *testing.T
	network   *fakes.Network
	objects   *fakes.ObjectStore
	instances *fakes.InstanceStore
	tickets   *ticketstore.Store
	members   []*member
	group     *concurrency.Group
}

func newFleet(t *testing.T, processes, zones int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, network: fakes.NewNetwork(), objects: fakes.NewObjectStore(),
		instances: &fakes.InstanceStore{}, group: concurrency.NewGroup(context.Background()),
	}
	f.tickets = &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: f.objects.RoundTrip}}
	for index := range processes {
		zone := fmt.Sprintf("zone-%d", index%zones)
		self := membership.Instance{
			Name: fmt.Sprintf("agent-%05d", index), Role: membership.AgentRole, AvailabilityZone: zone, Region: zone,
			Pool: fmt.Sprintf("pool-%d", index%40), Status: membership.Live, WorkAddress: fmt.Sprintf("10.0.0.0:%d", index), ControlAddress: fmt.Sprintf("agent-%05d:81", index),
		}
		f.instances.Set(self)
		f.start(self)
	}
	return f
}

func (f *fleet) start(self membership.Instance) {
	network := f.network.ForProcess(self.Name)
	m := &member{self: self, server: controlrpc.NewServer()}
	m.client = &controlrpc.Client{Dial: func(_ context.Context, address string) (conn, error) { return network.Dial(address) }}
	m.relay = &relay.Relay{
		Self: self, State: desiredstate.NewStore(), Membership: membership.NewStore(), Freshness: freshness.NewTracker(),
		Tickets:   &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: f.objects.RoundTrip}},
		Instances: &platformclient.InstanceList{BaseURL: "http://instances", HTTP: f.instances.RoundTrip},
		Control:   m.client, Log: event.Discard(),
		Prefixes: []string{"zone/" + self.AvailabilityZone, "pool/" + self.Pool, "endpoint/" + self.Name, "workspace/"},
	}
	if err := m.relay.Register(m.server); err != nil {
		f.t.Fatal(err)
	}
	listener, err := network.Listen(self.ControlAddress)
	if err != nil {
		f.t.Fatal(err)
	}
	f.group.Go(func(ctx context.Context) { m.server.Run(ctx, listener) })
	f.group.Go(m.relay.Run)
	f.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		m.client.Close()
	})
	f.members = append(f.members, m)
}

// ticketOf returns a ticket with the size of a typical rollout ticket.
func ticketOf(index int) ticket.Ticket {
	return ticket.Ticket{Operator: "bench", Pools: []ticket.Pool{{
		Name: fmt.Sprintf("pool-%d", index%40), Kind: ticket.ModelPool, Model: "draft", Version: fmt.Sprint("v", index),
		Manifest: strings.Repeat("ab", 32), Replicas: 300, MaxSwapping: 30,
	}}}
}

// propagationTime files a ticket and returns the time until every process has applied
// it.
func (f *fleet) propagationTime(index int) time.Duration {
	start := time.Now()
	record, err := f.tickets.File(context.Background(), ticketOf(index), fmt.Sprint("op-", index))
	if err != nil {
		f.t.Fatal(err)
	}
	for time.Since(start) < 2*ticketBound {
		if !slices.ContainsFunc(f.members, func(m *member) bool { return m.relay.State.Snapshot().UpTo() < record.Ticket.Number }) {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	f.t.Errorf("ticket %d is not in force everywhere after %s", record.Ticket.Number, time.Since(start))
	return time.Since(start)
}

func (f *fleet) measure(processes, zones int) ticketMeasurement {
	measurement := ticketMeasurement{Figure: "tickets", Processes: processes, Zones: zones, TicketsPerSecond: ticketsADay / 86400.0}
	time.Sleep(warmUp)
	for _, m := range f.members {
		m.initialBytes, m.initialCalls = m.bytes(), m.client.Calls()
	}
	before := f.objects.Counts()
	start := time.Now()
	var worst time.Duration
	interval := time.Duration(float64(time.Second) / measurement.TicketsPerSecond)
	for index := 0; time.Since(start) < measureSeconds*time.Second; index++ {
		next := time.Now().Add(interval)
		worst = max(worst, f.propagationTime(index))
		time.Sleep(time.Until(next))
	}
	seconds := time.Since(start).Seconds()
	after := f.objects.Counts()
	measurement.SecondsToEverywhere = worst.Seconds()
	measurement.StoreReadsPerSecond = float64(after.Reads-before.Reads) / seconds
	measurement.StoreWritesPerSecond = float64(after.Writes-before.Writes) / seconds
	f.recordRoleRates(&measurement, seconds)
	f.measureOutage(&measurement)
	return measurement
}

// recordRoleRates sets the highest byte rate of each role (leaf, relay, reader) and the
// highest call rate of any process.
func (f *fleet) recordRoleRates(measurement *ticketMeasurement, seconds float64) {
	for _, m := range f.members {
		rate := float64(m.bytes()-m.initialBytes) / seconds
		measurement.WorstCallsPerSecond = max(measurement.WorstCallsPerSecond, float64(m.client.Calls()-m.initialCalls)/seconds)
		servedIn, _ := m.server.Bytes()
		switch {
		case m.relay.IsActiveReader():
			measurement.ReaderBytesPerSecond = max(measurement.ReaderBytesPerSecond, rate)
		case servedIn > 0:
			measurement.RelayBytesPerSecond = max(measurement.RelayBytesPerSecond, rate)
		default:
			measurement.LeafBytesPerSecond = max(measurement.LeafBytesPerSecond, rate)
		}
	}
}

// measureOutage simulates an outage of the object API and measures the reads after its
// end, when all waiting processes retry.
func (f *fleet) measureOutage(measurement *ticketMeasurement) {
	f.objects.SetFaults(fakes.ObjectFaults{Down: true})
	time.Sleep(30 * time.Second)
	for _, m := range f.members {
		if m.relay.FreshnessStatus() != freshness.ConfirmedByMajority {
			f.t.Errorf("freshness status of %s during the outage: %s", m.self.Name, m.relay.FreshnessStatus())
		}
	}
	before := f.objects.Counts()
	f.objects.SetFaults(fakes.ObjectFaults{})
	time.Sleep(5 * time.Second)
	after := f.objects.Counts()
	measurement.StoreReadsAfterOutage = float64(after.Reads-before.Reads) / 5
	measurement.StoreCallsRefused = after.RateLimited
}

// TestTickets measures the propagation of tickets and checks it against the bounds.
func TestTickets(t *testing.T) {
	shapes := [][2]int{{19, 3}, {96, 8}}
	if *figures {
		shapes = append(shapes, [2]int{240, 8}, [2]int{480, 8})
	}
	for _, shape := range shapes {
		t.Run(fmt.Sprint(shape[0]), func(t *testing.T) { checkTickets(t, measureTickets(t, shape[0], shape[1])) })
	}
}

func measureTickets(t *testing.T, processes, zones int) ticketMeasurement {
	t.Helper()
	var measurement ticketMeasurement
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, processes, zones)
		measurement = f.measure(processes, zones)
		f.group.Stop()
		f.group.Wait()
	})
	printMeasurement(t, measurement)
	return measurement
}

func checkTickets(t *testing.T, measurement ticketMeasurement) {
	t.Helper()
	if measurement.SecondsToEverywhere > ticketBound.Seconds() {
		t.Errorf("ticket in force everywhere after %.1f s, bound %s", measurement.SecondsToEverywhere, ticketBound)
	}
	for _, rate := range []float64{measurement.LeafBytesPerSecond, measurement.RelayBytesPerSecond, measurement.ReaderBytesPerSecond} {
		if rate > controlBytesBound {
			t.Errorf("%d processes: %.0f control bytes per second, bound %d: %+v", measurement.Processes, rate, controlBytesBound, measurement)
		}
	}
	// Detects a child that pulls in a busy loop.
	if measurement.WorstCallsPerSecond > float64(2*measurement.Zones+2) {
		t.Errorf("%d processes: one process makes %.1f calls per second", measurement.Processes, measurement.WorstCallsPerSecond)
	}
}
