package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/relay"
	"github.com/mimosaward/mimosaward/internal/routing"
	"github.com/mimosaward/mimosaward/internal/streamcheck"
	"github.com/mimosaward/mimosaward/internal/topology"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// costMeasurement holds the benchmark result of one operation.
type costMeasurement struct {
	Kind        string  `json:"figure"`
	Name        string  `json:"name"`
	Nanoseconds float64 `json:"nanoseconds"`
	Allocations int64   `json:"allocations"`
	Bytes       int64   `json:"bytes"`
	Processors  int     `json:"processors"`
}

// memoryMeasurement holds the memory per item of one part of a process's state.
type memoryMeasurement struct {
	Kind         string  `json:"figure"`
	Name         string  `json:"name"`
	Items        int     `json:"items"`
	BytesPerItem float64 `json:"bytesPerItem"`
}

// cost is a benchmark of one hot-path operation with a limit on its allocations.
type cost struct {
	name           string
	maxAllocations int64
	run            func(b *testing.B)
}

func instances(count int) []membership.Instance {
	var list []membership.Instance
	for index := range count {
		zone := fmt.Sprint("zone-", index%8)
		list = append(list, membership.Instance{
			Name: fmt.Sprintf("agent-%05d", index), Role: membership.AgentRole, AvailabilityZone: zone, Region: fmt.Sprint("region-", index%4),
			Pool: fmt.Sprintf("pool-%d", index%40), Status: membership.Live, Version: int64(index + 1),
			WorkAddress: fmt.Sprintf("10.0.%d.%d:8100", index/256, index%256), ControlAddress: fmt.Sprintf("10.0.%d.%d:8101", index/256, index%256),
		})
	}
	return list
}

func costs() []cost {
	return []cost{
		{"admit", 1, func(b *testing.B) {
			gate := &admission.Gate{WarmLimit: 64, ColdLimit: 4, ColdLatency: time.Second}
			for b.Loop() {
				slot, _ := gate.Admit(admission.Request{Workspace: "aso-care", Priority: 2, MaxShare: 100})
				slot.RecordFirstByte()
				slot.Release()
			}
		}},
		{"route", 8, func(b *testing.B) {
			view := membership.NewView().With(instances(12000), 1)
			router := &routing.Router{Self: membership.Instance{Name: "entry-1", AvailabilityZone: "zone-1", Region: "region-1"}, SubsetSize: 16}
			snapshot := &desiredstate.Snapshot{}
			for b.Loop() {
				chosen, _ := router.Choose(routing.Request{Pool: "pool-1", PrefixKey: "p"}, view, snapshot)
				router.Begin(chosen.Name)
				router.End(chosen.Name)
			}
		}},
		{"verdict", 0, func(b *testing.B) {
			store := membership.NewStore()
			store.Merge(instances(instanceCount), 1)
			node := &relay.Relay{Membership: store, Freshness: freshness.NewTracker()}
			for b.Loop() {
				node.FreshnessStatus()
			}
		}},
		{"listUnchanged", 0, func(b *testing.B) {
			view := membership.NewView().With(instances(instanceCount), instanceCount)
			for b.Loop() {
				view.ChangedSince(view.Version())
			}
		}},
		{"listChange", 40, func(b *testing.B) {
			view := membership.NewView().With(instances(instanceCount), 1)
			changed := instances(1)
			for version := int64(instanceCount + 1); b.Loop(); version++ {
				changed[0].Version = version
				view = view.With(changed, version)
			}
		}},
		{"checkToken", 12, func(b *testing.B) {
			line := []byte(`data: {"id":"r","object":"chat.completion.chunk","model":"draft","system_fingerprint":"s","choices":[{"index":0,"delta":{"content":"token "},"finish_reason":null}]}` + "\n")
			checker := &streamcheck.Checker{RequestID: "r", Set: "s"}
			for b.Loop() {
				if err := checker.CheckLine(line); err != nil {
					b.Fatal(err)
				}
			}
		}},
		{"applyTicket", 600, func(b *testing.B) {
			store := desiredstate.NewStore()
			for number := int64(1); b.Loop(); number++ {
				newTicket := ticketOf(int(number))
				newTicket.Number = number
				store.Merge(desiredstate.EntriesFromTicket(&newTicket), number)
			}
		}},
		{"verifyChunkMiB", 0, func(b *testing.B) {
			data := make([]byte, 1<<20)
			for b.Loop() {
				weights.Sum(data)
			}
		}},
		{"controlCall", 60, controlCall},
		{"chunkSources", 16, func(b *testing.B) {
			members := instances(440)
			layout := topology.NewLayout("set", members[7], members, "region-0", 8)
			chunk := 0
			for b.Loop() {
				layout.Sources(chunk % 512)
				chunk++
			}
		}},
	}
}

// EchoArgs and EchoReply have the size of typical relay messages.
type EchoArgs struct {
	UpTo     int64
	Prefixes []string
}

type EchoReply struct {
	UpTo  int64
	Zones map[string]time.Duration
}

// echo is an rpc service that replies as a relay does when nothing changed.
type echo struct{}

// Call implements the rpc method.
func (echo) Call(args *EchoArgs, reply *EchoReply) error {
	reply.UpTo = args.UpTo
	reply.Zones = map[string]time.Duration{"zone-0": 1, "zone-1": 2, "zone-2": 3, "zone-3": 4}
	return nil
}

// controlCall measures one rpc call between processes, client and server together.
func controlCall(b *testing.B) {
	network := fakes.NewNetwork()
	server := controlrpc.NewServer()
	if err := server.Register("Echo", echo{}); err != nil {
		b.Fatal(err)
	}
	listener, err := network.ForProcess("server").Listen("server:81")
	if err != nil {
		b.Fatal(err)
	}
	group := concurrency.NewGroup(context.Background())
	group.Go(func(ctx context.Context) { server.Run(ctx, listener) })
	client := &controlrpc.Client{Dial: func(context.Context, string) (conn, error) { return network.ForProcess("client").Dial("server:81") }}
	for b.Loop() {
		var reply EchoReply
		if err := client.Call(context.Background(), "server:81", "Echo.Call", &EchoArgs{UpTo: 7, Prefixes: []string{"zone/a", "pool/b"}}, &reply); err != nil {
			b.Fatal(err)
		}
	}
	client.Close()
	group.Stop()
	group.Wait()
}

// TestCosts checks the allocations of the hot paths against their bounds. It
// reports the nanoseconds but does not check them.
func TestCosts(t *testing.T) {
	for _, c := range costs() {
		result := testing.Benchmark(c.run)
		if result.N == 0 {
			t.Errorf("benchmark %s did not run", c.name)
		}
		if allocations := result.AllocsPerOp(); allocations > c.maxAllocations {
			t.Errorf("%s makes %d allocations per operation, bound %d", c.name, allocations, c.maxAllocations)
		}
		printMeasurement(t, costMeasurement{
			Kind: "cost", Name: c.name, Nanoseconds: float64(result.NsPerOp()), Allocations: result.AllocsPerOp(),
			Bytes: result.AllocedBytesPerOp(), Processors: runtime.GOMAXPROCS(0),
		})
	}
}

// measureHeap returns the heap bytes that the result of build retains, and the result.
func measureHeap(build func() any) (uint64, any) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return max(after.HeapAlloc, before.HeapAlloc) - before.HeapAlloc, built
}

const (
	instanceCount = 14200
	scopeCount    = 4000
)

func buildMembershipView() any { return membership.NewView().With(instances(instanceCount), 1) }

func buildStateSnapshot() any {
	newTicket := &ticket.Ticket{Number: 1}
	for index := range scopeCount {
		newTicket.Pools = append(newTicket.Pools, ticket.Pool{Name: fmt.Sprint("pool-", index), Kind: ticket.ModelPool, Model: "draft", Version: "v1", Manifest: fmt.Sprintf("%064d", index)})
	}
	return (&desiredstate.Snapshot{}).With(desiredstate.EntriesFromTicket(newTicket), 1)
}

// TestMemory measures the memory per item of a process's state. It collects
// garbage before each build so that garbage of another one does not count.
func TestMemory(t *testing.T) {
	for _, item := range []struct {
		name  string
		items int
		build func() any
	}{
		{"rosterInstance", instanceCount, buildMembershipView},
		{"scope", scopeCount, buildStateSnapshot},
	} {
		runtime.GC()
		used, built := measureHeap(item.build)
		if used == 0 {
			t.Errorf("%s: heap did not grow", item.name)
		}
		printMeasurement(t, memoryMeasurement{Kind: "memory", Name: item.name, Items: item.items, BytesPerItem: float64(used) / float64(item.items)})
		runtime.KeepAlive(built)
	}
	text, err := json.Marshal(instances(instanceCount))
	if err != nil {
		t.Fatal(err)
	}
	printMeasurement(t, memoryMeasurement{Kind: "memory", Name: "listRecord", Items: instanceCount, BytesPerItem: float64(len(text)) / instanceCount})
}
