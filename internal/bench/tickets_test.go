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
	// ticketBound is the time in which a ticket is in force everywhere.
	ticketBound = 10 * time.Second
	// controlBytesBound is the control budget of a process in bytes a second.
	controlBytesBound = 3 << 10
	// ticketsADay at the planned size.
	ticketsADay    = 38_000
	measureSeconds = 60
	warmUp         = 20 * time.Second
)

// ticketFigure is what the spread of tickets measured.
type ticketFigure struct {
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

// member is one process of which only the relay runs.
type member struct {
	relay  *relay.Relay
	client *controlrpc.Client
	server *controlrpc.Server
	self   membership.Instance
	// before holds the bytes at the begin of the measurement.
	before int64
	calls  int64
}

func (m *member) bytes() int64 {
	received, sent := m.client.Bytes()
	servedIn, servedOut := m.server.Bytes()
	return received + sent + servedIn + servedOut
}

// fleet is many processes in one bubble.
type fleet struct {
	t         *testing.T
	network   *fakes.Network
	objects   *fakes.ObjectStore
	instances *fakes.InstanceStore
	desk      *ticketstore.Store
	members   []*member
	group     *concurrency.Group
}

func newFleet(t *testing.T, processes, zones int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, network: fakes.NewNetwork(), objects: fakes.NewObjectStore(),
		instances: &fakes.InstanceStore{}, group: concurrency.NewGroup(context.Background()),
	}
	f.desk = &ticketstore.Store{Objects: &platformclient.ObjectAPI{BaseURL: "http://objects", HTTP: f.objects.RoundTrip}}
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
	m.client = &controlrpc.Client{Dial: func(_ context.Context, address string) (dialed, error) { return network.Dial(address) }}
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

// ticketOf returns a ticket of the size that a rollout has.
func ticketOf(index int) ticket.Ticket {
	return ticket.Ticket{Operator: "bench", Pools: []ticket.Pool{{
		Name: fmt.Sprintf("pool-%d", index%40), Kind: ticket.ModelPool, Model: "draft", Version: fmt.Sprint("v", index),
		Manifest: strings.Repeat("ab", 32), Replicas: 300, MaxSwapping: 30,
	}}}
}

// everywhere returns how long it takes until every process holds the ticket.
func (f *fleet) everywhere(index int) time.Duration {
	start := time.Now()
	record, err := f.desk.File(context.Background(), ticketOf(index), fmt.Sprint("op-", index))
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

func (f *fleet) measure(processes, zones int) ticketFigure {
	figure := ticketFigure{Figure: "tickets", Processes: processes, Zones: zones, TicketsPerSecond: ticketsADay / 86400.0}
	time.Sleep(warmUp)
	for _, m := range f.members {
		m.before, m.calls = m.bytes(), m.client.Calls()
	}
	before := f.objects.Counts()
	start := time.Now()
	var worst time.Duration
	interval := time.Duration(float64(time.Second) / figure.TicketsPerSecond)
	for index := 0; time.Since(start) < measureSeconds*time.Second; index++ {
		next := time.Now().Add(interval)
		worst = max(worst, f.everywhere(index))
		time.Sleep(time.Until(next))
	}
	seconds := time.Since(start).Seconds()
	after := f.objects.Counts()
	figure.SecondsToEverywhere = worst.Seconds()
	figure.StoreReadsPerSecond = float64(after.Reads-before.Reads) / seconds
	figure.StoreWritesPerSecond = float64(after.Writes-before.Writes) / seconds
	f.roles(&figure, seconds)
	f.outage(&figure)
	return figure
}

// roles fills in the worst bytes and calls a second of each role.
func (f *fleet) roles(figure *ticketFigure, seconds float64) {
	for _, m := range f.members {
		rate := float64(m.bytes()-m.before) / seconds
		figure.WorstCallsPerSecond = max(figure.WorstCallsPerSecond, float64(m.client.Calls()-m.calls)/seconds)
		servedIn, _ := m.server.Bytes()
		switch {
		case m.relay.ReadsStore():
			figure.ReaderBytesPerSecond = max(figure.ReaderBytesPerSecond, rate)
		case servedIn > 0:
			figure.RelayBytesPerSecond = max(figure.RelayBytesPerSecond, rate)
		default:
			figure.LeafBytesPerSecond = max(figure.LeafBytesPerSecond, rate)
		}
	}
}

// outage takes the object API away and measures the calls when it answers
// again with everyone waiting.
func (f *fleet) outage(figure *ticketFigure) {
	f.objects.SetFaults(fakes.ObjectFaults{Down: true})
	time.Sleep(30 * time.Second)
	for _, m := range f.members {
		if m.relay.FreshnessStatus() != freshness.ConfirmedByMajority {
			f.t.Errorf("%s during the outage: %s", m.self.Name, m.relay.FreshnessStatus())
		}
	}
	before := f.objects.Counts()
	f.objects.SetFaults(fakes.ObjectFaults{})
	time.Sleep(5 * time.Second)
	after := f.objects.Counts()
	figure.StoreReadsAfterOutage = float64(after.Reads-before.Reads) / 5
	figure.StoreCallsRefused = after.RateLimited
}

// TestTickets measures the spread of tickets and holds it against the bounds.
func TestTickets(t *testing.T) {
	shapes := [][2]int{{19, 3}, {96, 8}}
	if *figures {
		shapes = append(shapes, [2]int{240, 8}, [2]int{480, 8})
	}
	for _, shape := range shapes {
		t.Run(fmt.Sprint(shape[0]), func(t *testing.T) { checkTickets(t, measureTickets(t, shape[0], shape[1])) })
	}
}

func measureTickets(t *testing.T, processes, zones int) ticketFigure {
	t.Helper()
	var figure ticketFigure
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, processes, zones)
		figure = f.measure(processes, zones)
		f.group.Stop()
		f.group.Wait()
	})
	printFigure(t, figure)
	return figure
}

func checkTickets(t *testing.T, figure ticketFigure) {
	t.Helper()
	if figure.SecondsToEverywhere > ticketBound.Seconds() {
		t.Errorf("ticket in force everywhere after %.1f s, bound %s", figure.SecondsToEverywhere, ticketBound)
	}
	for _, rate := range []float64{figure.LeafBytesPerSecond, figure.RelayBytesPerSecond, figure.ReaderBytesPerSecond} {
		if rate > controlBytesBound {
			t.Errorf("%d processes: %.0f control bytes a second, bound %d: %+v", figure.Processes, rate, controlBytesBound, figure)
		}
	}
	// A child that pulls without a pause would show here.
	if figure.WorstCallsPerSecond > float64(2*figure.Zones+2) {
		t.Errorf("%d processes: %.1f calls a second by one process", figure.Processes, figure.WorstCallsPerSecond)
	}
}
