package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	peerPollInterval = 2 * time.Second
	loadCallTimeout  = time.Second
	// maxPeers bounds the entries whose load this entry asks for.
	maxPeers = 16
	// maxAddresses bounds the answer to a caller.
	maxAddresses = 8
	// loadStep is the difference in requests in flight from which a less
	// loaded entry of the same distance comes first.
	loadStep = 8
)

// LoadArgs asks an entry for its load.
type LoadArgs struct{}

// LoadReply says how many requests are in flight and whether the entry is
// stopping.
type LoadReply struct {
	InFlight int
	Stopping bool
}

// service answers the calls of other entries.
type service struct {
	entry *Entry
}

// Load returns the entry's load.
func (s *service) Load(_ *LoadArgs, reply *LoadReply) error {
	reply.InFlight, reply.Stopping = s.entry.drain.InFlight(), s.entry.drain.Stopping()
	return nil
}

// peerLoads holds what other entries reported last. It is safe for concurrent
// use.
type peerLoads struct {
	mu    sync.Mutex
	loads map[string]peerLoad
}

type peerLoad struct {
	LoadReply
	failed bool
}

func (p *peerLoads) set(loads map[string]peerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loads = loads
}

func (p *peerLoads) get(name string) (peerLoad, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	load, ok := p.loads[name]
	return load, ok
}

// watchPeers asks other entries for their load until ctx ends.
func (e *Entry) watchPeers(ctx context.Context) {
	for ctx.Err() == nil {
		e.pollPeers(ctx)
		concurrency.Sleep(ctx, peerPollInterval)
	}
}

// pollPeers asks a bounded set of other entries for their load.
func (e *Entry) pollPeers(ctx context.Context) {
	loads := map[string]peerLoad{}
	for _, peer := range e.peerEntries() {
		if peer.Name == e.base.Self.Name {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, loadCallTimeout)
		var reply LoadReply
		err := e.base.Control.Call(callCtx, peer.ControlAddress, "Entry.Load", &LoadArgs{}, &reply)
		cancel()
		if err != nil {
			loads[peer.Name] = peerLoad{failed: true}
			continue
		}
		loads[peer.Name] = peerLoad{LoadReply: reply}
	}
	e.peers.set(loads)
}

// peerEntries returns the entries that this one tells callers about.
func (e *Entry) peerEntries() []membership.Instance {
	return membership.Top("peers/"+e.base.Self.Name, e.base.Membership.View().Entries(), maxPeers)
}

// addressList is the answer to a caller that asks which addresses to use.
type addressList struct {
	Addresses   []address `json:"addresses"`
	KeepSeconds int       `json:"keepSeconds"`
}

// address is one entry that a caller may use.
type address struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`

	distance  int
	loadLevel int
}

// addresses answers which entries a caller may use, the best first: near ones
// before far ones, and of those the less loaded. Entries that are stopping,
// unreachable or in a zone out of service are left out.
func (e *Entry) handleAddresses(c fiber.Ctx) error {
	zone, region := c.Query("availabilityZone"), c.Query("region")
	snapshot := e.base.State.Snapshot()
	list := addressList{Addresses: []address{}, KeepSeconds: int(e.Settings.AddressKeep / time.Second)}
	for _, peer := range e.peerEntries() {
		load, ok := e.peers.get(peer.Name)
		if peer.Name == e.base.Self.Name {
			load = peerLoad{LoadReply: LoadReply{InFlight: e.drain.InFlight(), Stopping: e.drain.Stopping()}}
		}
		if (ok && load.failed) || load.Stopping || !snapshot.ZoneInService(peer.AvailabilityZone) {
			continue
		}
		list.Addresses = append(list.Addresses, address{
			Address: peer.CallersAddress, AvailabilityZone: peer.AvailabilityZone, Region: peer.Region,
			distance: callerDistance(peer, zone, region), loadLevel: load.InFlight / loadStep,
		})
	}
	slices.SortStableFunc(list.Addresses, func(a, b address) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.loadLevel, b.loadLevel))
	})
	list.Addresses = list.Addresses[:min(len(list.Addresses), maxAddresses)]
	return c.JSON(list)
}

func callerDistance(peer membership.Instance, zone, region string) int {
	switch {
	case peer.AvailabilityZone == zone:
		return 0
	case peer.Region == region:
		return 1
	default:
		return 2
	}
}

// modelList is the answer to a caller that asks which models exist.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version string `json:"version"`
}

// models lists the models that tickets placed.
func (e *Entry) handleModels(c fiber.Ctx) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, pool := range e.base.State.Snapshot().Pools() {
		if pool.Kind == ticket.ModelPool {
			list.Data = append(list.Data, model{ID: pool.Model, Object: "model", Version: pool.Version})
		}
	}
	return c.JSON(list)
}
