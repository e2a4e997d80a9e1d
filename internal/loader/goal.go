package loader

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// goal is what the engine should serve. Version 0 means the newest one that the
// origin has, since the operators named none.
type goal struct {
	model   string
	version int64
	// named is when the loader learned of it.
	named time.Time
}

// goalClock remembers when each version was learned of.
type goalClock struct {
	mu    sync.Mutex
	model string
	// version and at belong to the newest version seen.
	version int64
	at      time.Time
}

// learned returns when the version was seen first.
func (c *goalClock) learned(model string, version int64) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() || c.model != model || c.version != version {
		c.model, c.version, c.at = model, version, time.Now()
	}
	return c.at
}

// model returns the model of the engine and how its engines are, and false before
// the first configuration.
func (l *Loader) model() (string, *configuration.Engine, bool) {
	current := l.observer.Configuration()
	if current == nil {
		return "", nil, false
	}
	service, known := current.Service(l.Deployment.Endpoint.Service)
	if !known || service.Engine == nil || len(service.Engine.Models) == 0 {
		return "", nil, false
	}
	return service.Engine.Models[0], service.Engine, true
}

// want returns what the engine should serve, and false before that is known.
func (l *Loader) want() (goal, bool) {
	model, _, known := l.model()
	if !known {
		return goal{}, false
	}
	version := l.observer.Fleet().Wanted(model)
	return goal{model: model, version: version, named: l.goals.learned(model, version)}, true
}

// cancelWhenReplaced ends the work for a goal that a newer one replaced.
func (l *Loader) cancelWhenReplaced(ctx context.Context, current goal, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		changed := l.observer.Changed()
		if now, known := l.want(); known && (now.model != current.model || now.version != current.version) {
			cancel()
			return
		}
		wait(ctx, changed, time.Second)
	}
}

// wait returns at a change, after the longest time, or when ctx ends.
func wait(ctx context.Context, changed <-chan struct{}, longest time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}
