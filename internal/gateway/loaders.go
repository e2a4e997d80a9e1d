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
	// statusPollWait is how long a loader may hold a question about its engine, if
	// nothing changes.
	statusPollWait = 500 * time.Millisecond
	// statusPollMargin is how long an answer may take beyond that.
	statusPollMargin = 700 * time.Millisecond
	// statusRetryDelay is the pause after a question that failed.
	statusRetryDelay = 300 * time.Millisecond
)

// loaderPoller asks the loaders how their loaderPoller are, and tells them what they need to
// know of the store. Set the exported fields before Run.
type loaderPoller struct {
	Control *controlrpc.Client
	Ports   deployment.Ports
	Log     *event.Logger
	// Plan returns the plan of a service's loaders.
	Plan func(service string) (loader.Plan, bool)
	// OnStatus is called with each answer.
	OnStatus func(endpoint string, status engine.Status, answering bool)

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
}

// setEndpoints asks the loaders of the endpoints, and no others, from now on.
func (p *loaderPoller) setEndpoints(group *concurrency.Group, endpoints []clusterstate.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[string]bool{}
	for _, endpoint := range endpoints {
		key := endpoint.ID + "@" + endpoint.Address
		wanted[key] = true
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
		if !wanted[key] {
			cancel()
			delete(p.cancels, key)
		}
	}
}

// poll asks one loader again and again until ctx ends.
func (p *loaderPoller) poll(ctx context.Context, endpoint clusterstate.Endpoint) {
	host, _, err := net.SplitHostPort(endpoint.Address)
	if err != nil {
		return
	}
	address := net.JoinHostPort(host, strconv.Itoa(loader.ControlPort(p.Ports)))
	var lastNumber int64
	var planNumbers loader.PlanNumbers
	reachable := true
	for ctx.Err() == nil {
		args := loader.StatusArgs{Known: lastNumber, Wait: statusPollWait}
		if plan, ok := p.Plan(endpoint.Service); ok {
			args.Plan, _ = plan.Beyond(planNumbers)
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
			lastNumber, planNumbers = 0, loader.PlanNumbers{}
			concurrency.Sleep(ctx, statusRetryDelay)
			continue
		}
		lastNumber, planNumbers = reply.Number, reply.PlanKnown
		if reply.Number > 0 {
			p.OnStatus(endpoint.ID, reply.Status, reply.Answering)
		}
	}
}

func (p *loaderPoller) logReachability(endpoint string, err error) {
	if err != nil {
		p.Log.Emit(event.LoaderLost, event.Fields{"endpoint": endpoint, "error": err.Error()})
		return
	}
	p.Log.Emit(event.LoaderRegained, event.Fields{"endpoint": endpoint})
}

// pollLoaders asks the loaders of every endpoint whose service has engines.
func (g *Gateway) pollLoaders(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	defer group.Stop()
	for ctx.Err() == nil {
		changed := g.observer.Changed()
		var endpoints []clusterstate.Endpoint
		if config := g.observer.Configuration(); config != nil {
			for _, service := range config.Services() {
				if service.Engine != nil {
					endpoints = append(endpoints, g.observer.Fleet().ServiceEndpoints(service.Name)...)
				}
			}
		}
		g.loaderPoller.setEndpoints(group, endpoints)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// loaderPlan returns the plan of a service's loaders.
func (g *Gateway) loaderPlan(service string) (loader.Plan, bool) {
	config := g.observer.Configuration()
	if config == nil {
		return loader.Plan{}, false
	}
	return loader.NewPlan(config, g.observer.Fleet(), service, g.Deployment.PeerPorts, g.observer.Rollouts().At)
}

// planService answers loaders that do not know their plan yet.
type planService struct {
	gateway *Gateway
}

// Plan returns the plan of a service's loaders.
func (s *planService) Plan(args *loader.PlanArgs, reply *loader.PlanReply) error {
	reply.Plan, reply.Known = s.gateway.loaderPlan(args.Service)
	return nil
}
