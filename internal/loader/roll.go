package loader

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/duty"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// goalInterval is how often the engine is compared with the goal if nothing
	// changed.
	goalInterval = 200 * time.Millisecond
	// rollPause is the pause after a failed step.
	rollPause = 100 * time.Millisecond
	// loadPoll is how often the end of a load is looked for.
	loadPoll = 20 * time.Millisecond
)

// roll brings the engine to what is wanted, again and again, until ctx ends.
func (l *Loader) roll(ctx context.Context) {
	for ctx.Err() == nil {
		changed := l.observer.Changed()
		wanted, known := l.want()
		status := l.status.current()
		switch {
		case !known || !status.Answering || status.Status.Busy:
			wait(ctx, changed, loadPoll)
		case l.satisfied(wanted, status.Status):
			l.adoptOnce(ctx, wanted.model, status.Status.Version(wanted.model))
			wait(ctx, changed, goalInterval)
		default:
			l.rollOnce(ctx, wanted)
		}
	}
}

// satisfied reports whether the engine serves what is wanted.
func (l *Loader) satisfied(wanted goal, status engine.Status) bool {
	version := status.Version(wanted.model)
	return version > 0 && (wanted.version == 0 || version == wanted.version)
}

// rollOnce fetches and stages the wanted weights and orders the engine to load
// them. Once they are staged it goes on even if they are replaced: the newer ones
// come next.
func (l *Loader) rollOnce(ctx context.Context, wanted goal) {
	l.Log.Emit(event.RolloutStarted, event.Fields{"model": wanted.model, "version": wanted.version})
	fetching, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := duty.NewGroup(fetching)
	watch.Go(func(ctx context.Context) { l.cancelWhenReplaced(ctx, wanted, cancel) })
	manifest, version, err := l.obtain(fetching, wanted)
	if err == nil {
		err = l.fetchAndStage(fetching, wanted.model, manifest)
	}
	replaced := fetching.Err() != nil
	cancel()
	watch.Wait()
	switch {
	case replaced:
		l.Log.Emit(event.RolloutAbandoned, event.Fields{"model": wanted.model, "version": wanted.version})
	case err != nil:
		l.Log.Emit(event.ManifestFailed, event.Fields{"model": wanted.model, "version": wanted.version, "error": err.Error()})
		duty.Sleep(ctx, rollPause)
	default:
		l.Log.Emit(event.SetComplete, event.Fields{"model": wanted.model, "version": version, "afterMs": time.Since(wanted.named).Milliseconds()})
		l.awaitTurn(ctx, wanted)
		l.load(ctx, wanted, version, manifest)
	}
}

// load checks what is staged and orders the engine to load it.
func (l *Loader) load(ctx context.Context, wanted goal, version int64, manifest *weights.Manifest) {
	if err := l.verifyStaged(ctx, wanted.model, manifest); err != nil {
		l.Log.Emit(event.LoadFailed, event.Fields{"version": version, "error": err.Error()})
		duty.Sleep(ctx, rollPause)
		return
	}
	before, err := l.engine.Status(ctx, l.layers())
	if err != nil || before.Busy || before.Version(wanted.model) >= version {
		return
	}
	result, err := l.engine.Load(ctx, engine.LoadOrder{Model: wanted.model, Version: version, FencingToken: version, Orders: before.Orders})
	fields := event.Fields{"model": wanted.model, "version": version, "orders": before.Orders, "running": before.Running, "result": result.String()}
	if err != nil {
		fields["error"] = err.Error()
		l.Log.Emit(event.LoadFailed, fields)
		duty.Sleep(ctx, rollPause)
		return
	}
	l.Log.Emit(event.LoadOrdered, fields)
	l.awaitLoad(ctx, wanted, version, before.Incarnation)
}

// awaitLoad waits until the engine has carried out its order.
func (l *Loader) awaitLoad(ctx context.Context, wanted goal, version, incarnation int64) {
	for duty.Sleep(ctx, loadPoll) {
		status, err := l.engine.Status(ctx, l.layers())
		if err != nil || status.Incarnation != incarnation {
			return
		}
		l.status.set(status, true)
		if status.Version(wanted.model) == version {
			l.Log.Emit(event.LoadDone, event.Fields{"model": wanted.model, "version": version, "afterMs": time.Since(wanted.named).Milliseconds()})
			return
		}
		if !status.Busy {
			return
		}
	}
}

// awaitTurn waits until this engine may stop taking work for its load. An engine
// that serves nothing need not wait.
func (l *Loader) awaitTurn(ctx context.Context, wanted goal) {
	status := l.status.current().Status
	if len(status.Weights) == 0 {
		return
	}
	duty.Sleep(ctx, time.Until(l.turn(wanted)))
}

// turn returns when this engine may begin its load: the engines of a model take
// turns by rank, so that the last one is done within the bound.
func (l *Loader) turn(wanted goal) time.Time {
	members := l.members()
	rank := 0
	self := l.self()
	for _, member := range members {
		if member.Name < self.Name {
			rank++
		}
	}
	first := wanted.named.Add(firstTurn)
	window := l.Deployment.Bounds.Rollout - firstTurn - lastTurnMargin
	if window <= 0 || len(members) == 0 {
		return first
	}
	return first.Add(window * time.Duration(rank) / time.Duration(len(members)))
}

const (
	// firstTurn is when the first engine stops to load, after its weights were
	// named: about when they are staged.
	firstTurn = 3300 * time.Millisecond
	// lastTurnMargin is how long before the bound the last engine stops to load:
	// what runs there must finish first.
	lastTurnMargin = 1800 * time.Millisecond
)

// adoptedSet remembers which staged weights were taken over.
type adoptedSet struct {
	mu      sync.Mutex
	version int64
	tried   time.Time
}

// due reports whether weights should be taken over now.
func (a *adoptedSet) due(version int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.version == version || time.Since(a.tried) < adoptInterval {
		return false
	}
	a.tried = time.Now()
	return true
}

func (a *adoptedSet) done(version int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version = version
}

// adoptInterval is the pause between two tries to take over staged weights.
const adoptInterval = 2 * time.Second
