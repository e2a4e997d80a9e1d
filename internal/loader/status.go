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
	// ServiceName is the name under which loaders answer gateways.
	ServiceName = "Loader"
	// StatusMethod asks for the engine's status.
	StatusMethod = ServiceName + ".Status"
	// statusInterval is how often the engine is asked how it is; the call stays on
	// the instance.
	statusInterval = 100 * time.Millisecond
	// maxStatusWait bounds how long a question waits for a change.
	maxStatusWait = time.Second
)

// The call that asks a gateway for the plan of a service's loaders.
const (
	PlanService = "Plans"
	PlanMethod  = PlanService + ".Plan"
)

// PlanArgs names the service.
type PlanArgs struct {
	Service string
}

// PlanReply is the plan, if the gateway knows it.
type PlanReply struct {
	Known bool
	Plan  Plan
}

// StatusArgs asks for the status that follows the one with the number Known, and
// waits up to Wait for it. Plan holds what the loader does not know yet.
type StatusArgs struct {
	Known int64
	Wait  time.Duration
	Plan  Plan
}

// StatusReply is an engine's status. Number grows with each change of it.
type StatusReply struct {
	Number int64
	Status engine.Status
	// Answering is false while the engine does not answer its loader.
	Answering bool
	// PlanKnown says which plan the loader knows.
	PlanKnown PlanVersions
}

// service answers the calls of gateways.
type service struct {
	loader *Loader
}

// Status returns the engine's status as soon as it is newer than the known one.
func (s *service) Status(args *StatusArgs, reply *StatusReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), min(args.Wait, maxStatusWait))
	defer cancel()
	s.loader.plans.merge(args.Plan)
	s.loader.plans.recordContact()
	*reply = s.loader.status.waitNewer(ctx, args.Known)
	plan, _ := s.loader.plans.current()
	reply.PlanKnown = plan.Versions()
	return nil
}

// statusHolder holds the newest status. It is safe for concurrent use.
type statusHolder struct {
	mu      sync.Mutex
	reply   StatusReply
	changed chan struct{}
}

func (b *statusHolder) set(status engine.Status, answering bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	modified := b.reply.Number == 0 || answering != b.reply.Answering || !b.reply.Status.Equal(status)
	b.reply.Status, b.reply.Answering = status, answering
	if modified {
		b.reply.Number++
		close(b.changed)
		b.changed = make(chan struct{})
	}
}

func (b *statusHolder) current() StatusReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reply
}

// waitNewer returns the status once its number is above known, or when ctx ends.
func (b *statusHolder) waitNewer(ctx context.Context, known int64) StatusReply {
	b.mu.Lock()
	reply, changed := b.reply, b.changed
	b.mu.Unlock()
	if reply.Number > known {
		return reply
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return b.current()
}

// pollEngine asks the engine how it is until ctx ends.
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
		l.status.set(status, err == nil)
		concurrency.Sleep(ctx, statusInterval)
	}
}

func (l *Loader) logEngineState(err error) {
	if err != nil {
		l.Log.Emit(event.EngineLost, event.Fields{"error": err.Error()})
		return
	}
	l.Log.Emit(event.EngineRegained, event.Fields{})
}

// engineStatus asks the engine how it is.
func (l *Loader) engineStatus(ctx context.Context) (engine.Status, error) {
	plan, _ := l.plans.current()
	return l.engine.Status(ctx, plan.Model.Layers)
}
