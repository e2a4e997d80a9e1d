package gateway

import (
	"context"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/loader"
)

const (
	// statusPollWait is how long a loader may delay the response to a status request while
	// the status does not change.
	statusPollWait = 500 * time.Millisecond
	// statusPollMargin is added to statusPollWait to get the timeout of a status request.
	statusPollMargin = 700 * time.Millisecond
	// statusRetryDelay is the delay after a failed status request.
	statusRetryDelay = 300 * time.Millisecond
)

// loaderPoller polls the loaders for the status of their engines and sends them their
// plans, which are derived from the object store. Set the exported fields before the first
// call.
type loaderPoller struct {
	Control *controlrpc.Client
	Ports   deployment.Ports
	Log     *event.Logger
	// Plan returns the plan of a service's loaders.
	Plan func(service string) (loader.Plan, bool)
	// OnStatus is called with each status of an engine. answering is false if the engine
	// does not respond to its loader.
	OnStatus func(endpoint string, status engine.Status, answering bool)

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// setEndpoints starts polling the loaders of new endpoints and stops polling those of
// endpoints that are no longer in the list.
func (p *loaderPoller) setEndpoints(group *concurrency.Group, endpoints []clusterstate.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := map[string]bool{}
	for _, endpoint := range endpoints {
		key := endpoint.ID + "@" + endpoint.Address
		current[key] = true
		if p.cancels[key] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(group.Context())
		if p.cancels == nil {
			p.cancels = map[string]context.CancelFunc{}
		}
		p.cancels[key] = cancel
		group.Go(func(context.Context) { p.poll(ctx, endpoint) })
	}
	for key, cancel := range p.cancels {
		if !current[key] {
			cancel()
			delete(p.cancels, key)
		}
	}
}

// poll requests the status of one loader repeatedly until ctx is done.
func (p *loaderPoller) poll(ctx context.Context, endpoint clusterstate.Endpoint) {
	host, _, err := net.SplitHostPort(endpoint.Address)
	if err != nil {
		return
	}
	address := net.JoinHostPort(host, strconv.Itoa(loader.ControlPort(p.Ports)))
	var statusNumber int64
	var planNumbers loader.PlanVersions
	repliedAt := time.Now()
	reachable := true
	for ctx.Err() == nil {
		args := loader.StatusArgs{Known: statusNumber, Wait: statusPollWait}
		if plan, ok := p.Plan(endpoint.Service); ok {
			known := planNumbers
			known.WantedAge += time.Since(repliedAt)
			args.Plan, _ = plan.NewerThan(known)
		}
		var reply loader.StatusReply
		callCtx, cancel := context.WithTimeout(ctx, statusPollWait+statusPollMargin)
		err := p.Control.Call(callCtx, address, loader.StatusMethod, &args, &reply)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			p.logReachability(endpoint.ID, err)
		}
		if err != nil {
			statusNumber, planNumbers = 0, loader.PlanVersions{}
			concurrency.Sleep(ctx, statusRetryDelay)
			continue
		}
		statusNumber, planNumbers, repliedAt = reply.Number, reply.PlanKnown, time.Now()
		if reply.Number > 0 {
			p.OnStatus(endpoint.ID, reply.Status, reply.Answering)
		}
	}
}

func (p *loaderPoller) logReachability(endpoint string, err error) {
	if err != nil {
		p.Log.Emit(event.LoaderUnreachable, event.Fields{"endpoint": endpoint, "error": err.Error()})
		return
	}
	p.Log.Emit(event.LoaderReachable, event.Fields{"endpoint": endpoint})
}

// pollLoaders polls the loaders of the engines that this gateway owns, until ctx is done.
func (g *Gateway) pollLoaders(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	defer group.Stop()
	for ctx.Err() == nil {
		changed := g.observer.Changed()
		g.loaderPoller.setEndpoints(group, g.ownedEngines())
		waitForChange(ctx, changed, concurrency.UntilTick(ownershipCheckInterval))
	}
}

// ownedEngines returns the engines whose loaders this gateway polls.
func (g *Gateway) ownedEngines() []clusterstate.Endpoint {
	config := g.observer.Configuration()
	if config == nil {
		return nil
	}
	var engines []clusterstate.Endpoint
	for _, service := range config.Services() {
		if service.Engine == nil {
			continue
		}
		owned := g.dispatcher.OwnedEndpoints(service.Name)
		for _, endpoint := range g.observer.ClusterState().ServiceEndpoints(service.Name) {
			if owned[endpoint.ID] {
				engines = append(engines, endpoint)
			}
		}
	}
	return engines
}

// ownershipCheckInterval is how often the owned engines are determined again, since they
// also depend on which gateways are alive.
const ownershipCheckInterval = 200 * time.Millisecond

func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// loaderPlan returns the plan of a service's loaders. A gateway that may not know yet since when a
// version is wanted has none.
func (g *Gateway) loaderPlan(service string) (loader.Plan, bool) {
	config := g.observer.Configuration()
	if config == nil || !g.restored() {
		return loader.Plan{}, false
	}
	return loader.NewPlan(config, g.observer.ClusterState(), service, g.Deployment.PeerPorts, g.observer.Rollouts().KnownSince)
}

// planService is the RPC service from which loaders without a plan request it.
type planService struct {
	gateway *Gateway
}

// Plan returns the plan of a service's loaders.
func (s *planService) Plan(args *loader.PlanArgs, reply *loader.PlanReply) error {
	reply.Plan, reply.Known = s.gateway.loaderPlan(args.Service)
	return nil
}
