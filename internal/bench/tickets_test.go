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
	// ticketsPerDay is the ticket rate of a deployment of the planned size.
	ticketsPerDay      = 38_000
	measurementSeconds = 60
	warmUpTime         = 20 * time.Second
)

// ticketMeasurement holds the measurements of the propagation of tickets.
type ticketMeasurement struct {
	Kind                           string  `json:"figure"`
	Processes                      int     `json:"processes"`
	Zones                          int     `json:"zones"`
	TicketsPerSecond               float64 `json:"ticketsPerSecond"`
	PropagationSeconds             float64 `json:"secondsToEverywhere"`
	StoreReadsPerSecond            float64 `json:"storeReadsPerSecond"`
	StoreWritesPerSecond           float64 `json:"storeWritesPerSecond"`
	LeafBytesPerSecond             float64 `json:"leafBytesPerSecond"`
	RelayBytesPerSecond            float64 `json:"relayBytesPerSecond"`
	ReaderBytesPerSecond           float64 `json:"readerBytesPerSecond"`
	MaxCallsPerSecond              float64 `json:"worstCallsPerSecond"`
	StoreReadsAfterOutagePerSecond float64 `json:"storeReadsAfterOutagePerSecond"`
	StoreCallsRateLimited          int64   `json:"storeCallsRefused"`
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
	serverReceived, serverSent := m.server.Bytes()
	return received + sent + serverReceived + serverSent
}

// cluster is a set of relay processes in one synctest bubble.
type cluster struct {
	t         *testing.T
	network   *fakes.Network
	objects   *fakes.ObjectStore
	instances *fakes.InstanceStore
	tickets   *ticketstore.Store
	members   []*member
	group     *concurrency.Group
}

func newCluster(t *testing.T, processes, zones int) *cluster {
	t.Helper()
	c := &cluster{
		t: t, network: fakes.NewNetwork(), objects: fakes.NewObjectStore(),
		instances: &fakes.InstanceStore{}, group: concurrency.NewGroup(context.Background()),
	}
	c.tickets = &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: c.objects.RoundTrip}}
	for index := range processes {
		zone := fmt.Sprintf("zone-%d", index%zones)
		self := membership.Instance{
			Name: fmt.Sprintf("agent-%05d", index), Role: membership.AgentRole, AvailabilityZone: zone, Region: zone,
			Pool: fmt.Sprintf("pool-%d", index%40), Status: membership.Live, WorkAddress: fmt.Sprintf("10.0.0.0:%d", index), ControlAddress: fmt.Sprintf("agent-%05d:81", index),
		}
		c.instances.Set(self)
		c.start(self)
	}
	return c
}

func (c *cluster) start(self membership.Instance) {
	network := c.network.ForProcess(self.Name)
	m := &member{self: self, server: controlrpc.NewServer()}
	m.client = &controlrpc.Client{Dial: func(_ context.Context, address string) (conn, error) { return network.Dial(address) }}
	m.relay = &relay.Relay{
		Self: self, State: desiredstate.NewStore(), Membership: membership.NewStore(), Freshness: freshness.NewTracker(),
		Tickets:   &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: c.objects.RoundTrip}},
		Instances: &platformclient.InstanceList{BaseURL: "http://instances", HTTP: c.instances.RoundTrip},
		Control:   m.client, Log: event.Discard(),
		Prefixes: []string{"zone/" + self.AvailabilityZone, "pool/" + self.Pool, "endpoint/" + self.Name, "workspace/"},
	}
	if err := m.relay.Register(m.server); err != nil {
		c.t.Fatal(err)
	}
	listener, err := network.Listen(self.ControlAddress)
	if err != nil {
		c.t.Fatal(err)
	}
	c.group.Go(func(ctx context.Context) { m.server.Run(ctx, listener) })
	c.group.Go(m.relay.Run)
	c.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		m.client.Close()
	})
	c.members = append(c.members, m)
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
func (c *cluster) propagationTime(index int) time.Duration {
	start := time.Now()
	record, err := c.tickets.File(context.Background(), ticketOf(index), fmt.Sprint("op-", index))
	if err != nil {
		c.t.Fatal(err)
	}
	for time.Since(start) < 2*ticketBound {
		if !slices.ContainsFunc(c.members, func(m *member) bool { return m.relay.State.Snapshot().UpTo() < record.Ticket.Number }) {
			return time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Errorf("ticket %d is not in force in all processes after %s", record.Ticket.Number, time.Since(start))
	return time.Since(start)
}

func (c *cluster) measure(processes, zones int) ticketMeasurement {
	measurement := ticketMeasurement{Kind: "tickets", Processes: processes, Zones: zones, TicketsPerSecond: ticketsPerDay / 86400.0}
	time.Sleep(warmUpTime)
	for _, m := range c.members {
		m.initialBytes, m.initialCalls = m.bytes(), m.client.Calls()
	}
	before := c.objects.Counts()
	start := time.Now()
	var maxTime time.Duration
	interval := time.Duration(float64(time.Second) / measurement.TicketsPerSecond)
	for index := 0; time.Since(start) < measurementSeconds*time.Second; index++ {
		next := time.Now().Add(interval)
		maxTime = max(maxTime, c.propagationTime(index))
		time.Sleep(time.Until(next))
	}
	seconds := time.Since(start).Seconds()
	after := c.objects.Counts()
	measurement.PropagationSeconds = maxTime.Seconds()
	measurement.StoreReadsPerSecond = float64(after.Reads-before.Reads) / seconds
	measurement.StoreWritesPerSecond = float64(after.Writes-before.Writes) / seconds
	c.recordRoleRates(&measurement, seconds)
	c.measureOutage(&measurement)
	return measurement
}

// recordRoleRates sets the highest byte rate of each role (leaf, relay, reader) and the
// highest call rate of any process.
func (c *cluster) recordRoleRates(measurement *ticketMeasurement, seconds float64) {
	for _, m := range c.members {
		rate := float64(m.bytes()-m.initialBytes) / seconds
		measurement.MaxCallsPerSecond = max(measurement.MaxCallsPerSecond, float64(m.client.Calls()-m.initialCalls)/seconds)
		serverReceived, _ := m.server.Bytes()
		switch {
		case m.relay.IsActiveReader():
			measurement.ReaderBytesPerSecond = max(measurement.ReaderBytesPerSecond, rate)
		case serverReceived > 0:
			measurement.RelayBytesPerSecond = max(measurement.RelayBytesPerSecond, rate)
		default:
			measurement.LeafBytesPerSecond = max(measurement.LeafBytesPerSecond, rate)
		}
	}
}

// measureOutage simulates an outage of the object API and measures the reads after its
// end, when all waiting processes retry.
func (c *cluster) measureOutage(measurement *ticketMeasurement) {
	c.objects.SetFaults(fakes.ObjectFaults{Down: true})
	time.Sleep(30 * time.Second)
	for _, m := range c.members {
		if m.relay.FreshnessStatus() != freshness.ConfirmedByMajority {
			c.t.Errorf("freshness status of %s during the outage is %s, want confirmed by a majority", m.self.Name, m.relay.FreshnessStatus())
		}
	}
	before := c.objects.Counts()
	c.objects.SetFaults(fakes.ObjectFaults{})
	time.Sleep(5 * time.Second)
	after := c.objects.Counts()
	measurement.StoreReadsAfterOutagePerSecond = float64(after.Reads-before.Reads) / 5
	measurement.StoreCallsRateLimited = after.RateLimited
}

// TestTickets measures the propagation of tickets and checks it against the bounds.
func TestTickets(t *testing.T) {
	shapes := [][2]int{{19, 3}, {96, 8}}
	if *fullRun {
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
		c := newCluster(t, processes, zones)
		measurement = c.measure(processes, zones)
		c.group.Stop()
		c.group.Wait()
	})
	printMeasurement(t, measurement)
	return measurement
}

func checkTickets(t *testing.T, measurement ticketMeasurement) {
	t.Helper()
	if measurement.PropagationSeconds > ticketBound.Seconds() {
		t.Errorf("ticket in force in all processes after %.1f s, bound %s", measurement.PropagationSeconds, ticketBound)
	}
	for _, rate := range []float64{measurement.LeafBytesPerSecond, measurement.RelayBytesPerSecond, measurement.ReaderBytesPerSecond} {
		if rate > controlBytesBound {
			t.Errorf("%d processes: %.0f control bytes per second, bound %d: %+v", measurement.Processes, rate, controlBytesBound, measurement)
		}
	}
	// Detects a child that pulls in a busy loop.
	if measurement.MaxCallsPerSecond > float64(2*measurement.Zones+2) {
		t.Errorf("%d processes: one process makes %.1f calls per second, more than two per zone plus two", measurement.Processes, measurement.MaxCallsPerSecond)
	}
}
