package loader

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// gatewayTimeout is the time without a call from any gateway after which a loader
	// reads the object store itself. Gateways call every loader at least once a second.
	gatewayTimeout       = 3 * time.Second
	gatewayCheckInterval = 500 * time.Millisecond
	storePlanInterval    = 200 * time.Millisecond
)

// NewPlan derives the plan for the loaders of a service. It returns false until the
// configuration, the endpoints and the wanted versions are all available: a loader without
// the wanted version or without its peers would fetch unneeded weights from the origin.
// wantedSince returns when the wanted version became known.
func NewPlan(current *configuration.Configuration, view *clusterstate.View, service string, ports deployment.Ports, wantedSince func(model string, version int64) time.Time) (Plan, bool) {
	definition, ok := current.Service(service)
	if !ok || definition.Engine == nil || len(definition.Engine.Models) == 0 || !view.Complete() {
		return Plan{}, false
	}
	model := definition.Engine.Models[0]
	plan := Plan{
		Model: ModelPart{
			Version: current.Version(), Model: model, Layers: definition.Engine.Layers,
			Chunks: definition.Engine.Chunks, ChunkBytes: definition.Engine.ChunkBytes,
		},
		Members: MembersPart{Position: view.Position(), Instances: members(view.ServiceEndpoints(service), model, ports)},
	}
	if origin, ok := current.Origin(); ok {
		plan.Model.Origin, plan.Model.OriginZone = origin.Address, origin.AvailabilityZone
	}
	if version := view.WantedVersion(model); version > 0 {
		plan.Wanted = WantedPart{Version: version, Age: time.Since(wantedSince(model, version))}
	}
	return plan, true
}

// members returns the instances of a model's endpoints, ordered by IP address. An engine
// that restarted under a new ID may have two entries for a while; the one with the newest
// incarnation is used.
func members(endpoints []clusterstate.Endpoint, model string, ports deployment.Ports) []Member {
	byHost := make(map[string]Member, len(endpoints))
	incarnations := make(map[string]int64, len(endpoints))
	for _, endpoint := range endpoints {
		host, _, err := net.SplitHostPort(endpoint.Address)
		if _, exists := byHost[host]; err != nil || (exists && incarnations[host] > endpoint.Incarnation) {
			// An entry without a valid address, reported by the decoder, is not a member.
			continue
		}
		incarnations[host] = endpoint.Incarnation
		byHost[host] = Member{
			Instance: loaderInstance(host, endpoint.AvailabilityZone, endpoint.Region, ports), Version: endpoint.Version(model),
		}
	}
	return slices.SortedFunc(maps.Values(byHost), func(a, b Member) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
}

// loaderInstance describes the instance with an IP address as a node of the distribution
// topology.
func loaderInstance(host, zone, region string, ports deployment.Ports) membership.Instance {
	return membership.Instance{
		Name: host, Role: membership.AgentRole, Status: membership.Live, AvailabilityZone: zone, Region: region,
		WorkAddress: net.JoinHostPort(host, strconv.Itoa(chunkPort(ports))),
	}
}

// requestPlanFromSeeds requests the plan from the seed gateways until it is available:
// a new engine becomes known to the gateways only with its first heartbeat, and they do
// not call its loader before.
func (l *Loader) requestPlanFromSeeds(ctx context.Context) {
	seeds := l.Deployment.Seeds
	if len(seeds) == 0 {
		return
	}
	// Instances start with different seeds, so that they do not all call the same gateway.
	first := int(membership.Score("seed", l.Deployment.Instance.Name) % uint64(len(seeds)))
	for attempt := first; ctx.Err() == nil; attempt++ {
		if plan, _ := l.plans.current(); plan.Model.Version != 0 {
			return
		}
		l.requestPlan(ctx, seeds[attempt%len(seeds)])
		concurrency.Sleep(ctx, seedRetryDelay)
	}
}

const (
	// seedRetryDelay is the delay between two requests. A gateway that has just started
	// has the plan after a few calls to the object store.
	seedRetryDelay = 100 * time.Millisecond
	// seedTimeout bounds one request.
	seedTimeout = 300 * time.Millisecond
)

// requestPlan requests the plan from one gateway and reports whether the gateway sent it.
// Errors are not logged: without a plan, the loader falls back to the object store.
func (l *Loader) requestPlan(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var reply PlanReply
	err := l.control.Call(ctx, address, PlanMethod, &PlanArgs{Service: l.Deployment.Endpoint.Service}, &reply)
	if err != nil || !reply.Known {
		return false
	}
	l.plans.merge(reply.Plan)
	l.plans.recordContact()
	return true
}

// watchGatewayContact reads the object store while neither a gateway calls nor a seed
// responds. Normally gateways send a loader its plan, so that the number of calls to the
// object store does not grow with the number of engines.
func (l *Loader) watchGatewayContact(ctx context.Context) {
	started := time.Now()
	for concurrency.Tick(ctx, gatewayCheckInterval) {
		if time.Since(latest(started, l.plans.lastContact())) < gatewayTimeout {
			continue
		}
		if slices.ContainsFunc(l.Deployment.Seeds, func(seed string) bool { return l.requestPlan(ctx, seed) }) {
			continue
		}
		l.Log.Emit(event.GatewaysUnreachable, event.Fields{"lastHeard": l.plans.lastContact()})
		l.followStore(ctx)
		l.Log.Emit(event.GatewaysReachable, event.Fields{})
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// followStore derives the plan from the object store until a gateway calls.
func (l *Loader) followStore(ctx context.Context) {
	observer, record := l.newObserver()
	group := concurrency.NewGroup(ctx)
	group.Go(observer.Run)
	group.Go(record.Restore)
	since := time.Now()
	for l.plans.lastContact().Before(since) && concurrency.Sleep(ctx, storePlanInterval) {
		current := observer.Configuration()
		if current == nil || !observer.VersionsDated() {
			continue
		}
		if plan, complete := NewPlan(current, observer.ClusterState(), l.Deployment.Endpoint.Service, l.Deployment.PeerPorts, observer.Rollouts().KnownSince); complete {
			l.plans.merge(plan)
		}
	}
	group.Stop()
}
