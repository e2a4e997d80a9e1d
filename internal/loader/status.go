package loader

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
)

const (
	// ServiceName is the name of the rpc service that loaders provide to gateways.
	ServiceName = "Loader"
	// StatusMethod is the rpc method that returns the engine's status.
	StatusMethod = ServiceName + ".Status"
	// statusInterval is how often the engine's status is polled; the call does not leave
	// the instance.
	statusInterval = 200 * time.Millisecond
	// maxStatusWait bounds how long a Status call waits for a change.
	maxStatusWait = time.Second
)

// The rpc service and method with which a loader requests its plan from a gateway.
const (
	PlanService = "Plans"
	PlanMethod  = PlanService + ".Plan"
)

// PlanArgs holds the name of the service whose plan is requested.
type PlanArgs struct {
	Service string
}

// PlanReply holds the plan if Known is true: the gateway may not have it yet.
type PlanReply struct {
	Known bool
	Plan  Plan
}

// StatusArgs requests a status with a number above Known and waits up to Wait for it.
// Plan holds the parts of the plan that the loader does not have yet.
type StatusArgs struct {
	Known int64
	Wait  time.Duration
	Plan  Plan
}

// StatusReply holds an engine's status. Number increases with each change of the status.
type StatusReply struct {
	Number int64
	Status engine.Status
	// Answering is false while the engine does not respond to its loader.
	Answering bool
	// PlanKnown holds the versions of the loader's plan.
	PlanKnown PlanVersions
}

// service implements the rpc service for gateways.
type service struct {
	loader *Loader
}

// Status merges the plan that the gateway sent and returns the engine's status as soon as
// it is newer than the known one, or the current status after the wait.
func (s *service) Status(args *StatusArgs, reply *StatusReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, maxStatusWait))
	defer cancel()
	s.loader.plans.merge(args.Plan)
	s.loader.plans.recordContact()
	*reply = s.loader.status.waitNewer(ctx, args.Known)
	reply.PlanKnown = s.loader.plans.currentVersions()
	return nil
}

// statusHolder holds the engine's latest status. It is safe for concurrent use.
type statusHolder struct {
	mu      sync.Mutex
	reply   StatusReply
	changed chan struct{}
}

func (h *statusHolder) set(status engine.Status, answering bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	modified := h.reply.Number == 0 || answering != h.reply.Answering || !h.reply.Status.Equal(status)
	h.reply.Status, h.reply.Answering = status, answering
	if modified {
		h.reply.Number++
		close(h.changed)
		h.changed = make(chan struct{})
	}
}

func (h *statusHolder) current() StatusReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reply
}

// waitNewer waits until the status has a number above known or ctx is done, and returns
// the current status.
func (h *statusHolder) waitNewer(ctx context.Context, known int64) StatusReply {
	h.mu.Lock()
	reply, changed := h.reply, h.changed
	h.mu.Unlock()
	if reply.Number > known {
		return reply
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return h.current()
}

// pollEngine polls the engine's status until ctx is done.
func (l *Loader) pollEngine(ctx context.Context) {
	answering := true
	for ctx.Err() == nil {
		status, err := l.engineStatus(ctx)
		if (err == nil) != answering {
			answering = err == nil
			l.logEngineState(err)
		}
		if err != nil {
			status = l.status.current().Status
		}
		l.unconfirmed.withhold(&status)
		l.addReadiness(&status)
		l.status.set(status, err == nil)
		concurrency.Tick(ctx, statusInterval)
	}
}

// setStatus records the status of an engine that responded.
func (l *Loader) setStatus(status engine.Status) {
	l.unconfirmed.withhold(&status)
	l.status.set(status, true)
}

func (l *Loader) logEngineState(err error) {
	if err != nil {
		l.Log.Emit(event.EngineUnreachable, event.Fields{"error": err.Error()})
		return
	}
	l.Log.Emit(event.EngineReachable, event.Fields{})
}

// engineStatus requests the engine's status.
func (l *Loader) engineStatus(ctx context.Context) (engine.Status, error) {
	plan, _ := l.plans.current()
	return l.engine.Status(ctx, plan.Model.Layers)
}
