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
	// maxPeers is the maximum number of entries whose load this entry polls.
	maxPeers = 16
	// maxAddresses is the maximum number of addresses in a response.
	maxAddresses = 8
	// loadStep is the number of requests in flight per load level. Among
	// entries at the same distance, those with a lower level come first.
	loadStep = 8
)

// LoadArgs requests the load of an entry.
type LoadArgs struct{}

// LoadReply holds the number of requests in flight and whether the entry is
// stopping.
type LoadReply struct {
	InFlight int
	Stopping bool
}

// service implements the RPCs that other entries call.
type service struct {
	entry *Entry
}

// Load returns the entry's load.
func (s *service) Load(_ *LoadArgs, reply *LoadReply) error {
	reply.InFlight, reply.Stopping = s.entry.drain.InFlight(), s.entry.drain.Stopping()
	return nil
}

// peerLoads holds the last load reports of other entries. It is safe for
// concurrent use.
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

// watchPeers polls the load of other entries until ctx is done.
func (e *Entry) watchPeers(ctx context.Context) {
	for ctx.Err() == nil {
		e.pollPeers(ctx)
		concurrency.Sleep(ctx, peerPollInterval)
	}
}

// pollPeers requests the load of a bounded set of other entries, of all at the same time: a
// frozen one must not delay the news of the others.
func (e *Entry) pollPeers(ctx context.Context) {
	var mu sync.Mutex
	loads := map[string]peerLoad{}
	calls := concurrency.NewGroup(ctx)
	for _, peer := range e.peerEntries() {
		if peer.Name == e.base.Self.Name {
			continue
		}
		calls.Go(func(ctx context.Context) {
			load := e.pollPeer(ctx, peer)
			mu.Lock()
			defer mu.Unlock()
			loads[peer.Name] = load
		})
	}
	calls.Wait()
	calls.Stop()
	e.peers.set(loads)
}

// pollPeer requests the load of another entry.
func (e *Entry) pollPeer(ctx context.Context, peer membership.Instance) peerLoad {
	ctx, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	var reply LoadReply
	if err := e.base.Control.Call(ctx, peer.ControlAddress, "Entry.Load", &LoadArgs{}, &reply); err != nil {
		return peerLoad{failed: true}
	}
	return peerLoad{LoadReply: reply}
}

// peerEntries returns the entries whose addresses this entry returns to
// callers. The set may include this entry.
func (e *Entry) peerEntries() []membership.Instance {
	return membership.TopRanked("peers/"+e.base.Self.Name, e.base.Membership.View().Entries(), maxPeers)
}

// addressList is the response to a caller that requests entry addresses.
type addressList struct {
	Addresses   []address `json:"addresses"`
	KeepSeconds int       `json:"keepSeconds"`
}

// address is the address of an entry that a caller may use.
type address struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region"`

	distance  int
	loadLevel int
}

// handleAddresses responds with the entries that a caller may use, ordered by
// distance to the caller and then by load. Entries that are stopping,
// unreachable or in a zone out of service are left out.
func (e *Entry) handleAddresses(c fiber.Ctx) error {
	zone, region := c.Query("availabilityZone"), c.Query("region")
	snapshot := e.base.State.Snapshot()
	list := addressList{Addresses: []address{}, KeepSeconds: int(e.Settings.AddressTTL / time.Second)}
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

// modelList is the response to a caller that requests the list of models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Version string `json:"version"`
}

// handleModels responds with the models of all pools that tickets define.
func (e *Entry) handleModels(c fiber.Ctx) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, pool := range e.base.State.Snapshot().Pools() {
		if pool.Kind == ticket.ModelPool {
			list.Data = append(list.Data, model{ID: pool.Model, Object: "model", Version: pool.Version})
		}
	}
	return c.JSON(list)
}
