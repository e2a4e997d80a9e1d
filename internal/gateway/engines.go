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
	// statusWait is how long a loader may hold a question about its engine, if
	// nothing changes.
	statusWait = 500 * time.Millisecond
	// statusTimeout is how long an answer may take beyond that.
	statusTimeout = 700 * time.Millisecond
	// statusPause is the pause after a question that failed.
	statusPause = 300 * time.Millisecond
)

// engines asks the loaders how their engines are, and tells them what they need to
// know of the store. Set the exported fields before Run.
type engines struct {
	Control *controlrpc.Client
	Ports   deployment.Ports
	Log     *event.Logger
	// Plan returns the plan of a service's loaders.
	Plan func(service string) (loader.Plan, bool)
	// OnStatus is called with each answer.
	OnStatus func(endpoint string, status engine.Status, answering bool)

	mu    sync.Mutex
	asked map[string]context.CancelFunc
}

// follow asks the loaders of the endpoints, and no others, from now on.
func (e *engines) follow(group *concurrency.Group, endpoints []clusterstate.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := map[string]bool{}
	for _, endpoint := range endpoints {
		key := endpoint.ID + "@" + endpoint.Address
		wanted[key] = true
		if e.asked[key] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(group.Context())
		if e.asked == nil {
			e.asked = map[string]context.CancelFunc{}
		}
		e.asked[key] = cancel
		group.Go(func(context.Context) { e.ask(ctx, endpoint) })
	}
	for key, cancel := range e.asked {
		if !wanted[key] {
			cancel()
			delete(e.asked, key)
		}
	}
}

// ask asks one loader again and again until ctx ends.
func (e *engines) ask(ctx context.Context, endpoint clusterstate.Endpoint) {
	host, _, err := net.SplitHostPort(endpoint.Address)
	if err != nil {
		return
	}
	address := net.JoinHostPort(host, strconv.Itoa(loader.ControlPort(e.Ports)))
	var known int64
	var planKnown loader.PlanVersions
	reachable := true
	for ctx.Err() == nil {
		args := loader.StatusArgs{Known: known, Wait: statusWait}
		if plan, found := e.Plan(endpoint.Service); found {
			args.Plan, _ = plan.NewerThan(planKnown)
		}
		var reply loader.StatusReply
		callCtx, cancel := context.WithTimeout(ctx, statusWait+statusTimeout)
		err := e.Control.Call(callCtx, address, loader.StatusMethod, &args, &reply)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			e.logReachable(endpoint.ID, err)
		}
		if err != nil {
			known, planKnown = 0, loader.PlanVersions{}
			concurrency.Sleep(ctx, statusPause)
			continue
		}
		known, planKnown = reply.Number, reply.PlanKnown
		if reply.Number > 0 {
			e.OnStatus(endpoint.ID, reply.Status, reply.Answering)
		}
	}
}

func (e *engines) logReachable(endpoint string, err error) {
	if err != nil {
		e.Log.Emit(event.LoaderLost, event.Fields{"endpoint": endpoint, "error": err.Error()})
		return
	}
	e.Log.Emit(event.LoaderRegained, event.Fields{"endpoint": endpoint})
}

// followEngines asks the loaders of every endpoint whose service has engines.
func (g *Gateway) followEngines(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	defer group.Stop()
	for ctx.Err() == nil {
		changed := g.observer.Changed()
		var endpoints []clusterstate.Endpoint
		if current := g.observer.Configuration(); current != nil {
			for _, service := range current.Services() {
				if service.Engine != nil {
					endpoints = append(endpoints, g.observer.ClusterState().ServiceEndpoints(service.Name)...)
				}
			}
		}
		g.engines.follow(group, endpoints)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// loaderPlan returns the plan of a service's loaders.
func (g *Gateway) loaderPlan(service string) (loader.Plan, bool) {
	current := g.observer.Configuration()
	if current == nil {
		return loader.Plan{}, false
	}
	return loader.NewPlan(current, g.observer.ClusterState(), service, g.Deployment.PeerPorts, g.observer.Rollouts().KnownSince)
}

// plans answers loaders that do not know their plan yet.
type plans struct {
	gateway *Gateway
}

// Plan returns the plan of a service's loaders.
func (p *plans) Plan(args *loader.PlanArgs, reply *loader.PlanReply) error {
	reply.Plan, reply.Known = p.gateway.loaderPlan(args.Service)
	return nil
}
