package loader

import (
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/duty"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fleet"
	"github.com/mimosaward/mimosaward/internal/roster"
)

const (
	// unheardLimit is how long no gateway may call before a loader reads the store
	// itself. Gateways call every loader at least once a second.
	unheardLimit  = 3 * time.Second
	unheardPoll   = 500 * time.Millisecond
	planFromStore = 200 * time.Millisecond
)

// NewPlan derives the plan of the loaders of a service. Named is when the wanted
// version became known, revision that of the endpoints.
func NewPlan(current *configuration.Configuration, view *fleet.View, service string, ports deployment.Ports, named func(model string) time.Time) (Plan, bool) {
	described, known := current.Service(service)
	if !known || described.Engine == nil || len(described.Engine.Models) == 0 {
		return Plan{}, false
	}
	model := described.Engine.Models[0]
	plan := Plan{
		Model: ModelPart{
			Version: current.Version(), Model: model, Layers: described.Engine.Layers, Chunks: described.Engine.Chunks,
		},
		Members: MembersPart{Revision: view.Revision(), Instances: members(view.Service(service), ports)},
	}
	if origin, found := current.Origin(); found {
		plan.Model.Origin, plan.Model.OriginZone = origin.Address, origin.AvailabilityZone
	}
	if version := view.Wanted(model); version > 0 {
		plan.Wanted = WantedPart{Version: version, Age: time.Since(named(model))}
	}
	return plan, true
}

// members returns the instances of endpoints that hold the same model, ordered by
// address. An engine that restarted under a new ID may have two entries for a while.
func members(endpoints []fleet.Endpoint, ports deployment.Ports) []roster.Instance {
	list := make([]roster.Instance, 0, len(endpoints))
	for _, endpoint := range endpoints {
		host, _, err := net.SplitHostPort(endpoint.Address)
		if err != nil {
			// An entry without an address is no member; the decoder has reported it.
			continue
		}
		list = append(list, instanceOf(host, endpoint.AvailabilityZone, endpoint.Region, ports))
	}
	byName := func(a, b roster.Instance) int { return strings.Compare(a.Name, b.Name) }
	slices.SortFunc(list, byName)
	return slices.CompactFunc(list, func(a, b roster.Instance) bool { return a.Name == b.Name })
}

// instanceOf describes the instance with an IP address to the layout of a burst.
func instanceOf(host, zone, region string, ports deployment.Ports) roster.Instance {
	return roster.Instance{
		Name: host, Role: roster.AgentRole, Status: roster.Live, AvailabilityZone: zone, Region: region,
		WorkAddress: net.JoinHostPort(host, strconv.Itoa(chunkPort(ports))),
	}
}

// observeUnheard reads the store while no gateway calls. Usually gateways tell a
// loader what it needs, so that the store's calls do not grow with the engines.
func (l *Loader) observeUnheard(ctx context.Context) {
	started := time.Now()
	for duty.Sleep(ctx, unheardPoll) {
		if time.Since(latest(started, l.plans.lastHeard())) < unheardLimit {
			continue
		}
		l.Log.Emit(event.GatewaysSilent, event.Fields{"lastHeard": l.plans.lastHeard()})
		l.observeUntilHeard(ctx)
		l.Log.Emit(event.GatewaysHeard, event.Fields{})
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// observeUntilHeard follows the store until a gateway calls.
func (l *Loader) observeUntilHeard(ctx context.Context) {
	following := l.newObserver()
	group := duty.NewGroup(ctx)
	group.Go(following.Run)
	since := time.Now()
	for l.plans.lastHeard().Before(since) && duty.Sleep(ctx, planFromStore) {
		current := following.Configuration()
		if current == nil {
			continue
		}
		if plan, known := NewPlan(current, following.Fleet(), l.Deployment.Endpoint.Service, l.Deployment.PeerPorts, following.NamedAt); known {
			l.plans.offer(plan)
		}
	}
	group.Stop()
}
