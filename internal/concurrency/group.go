// Package concurrency starts the background goroutines of a process and stops
// them together. It is the only place that starts goroutines.
package concurrency

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Group runs duties until its context ends. A panic in one duty is raised
// again by Wait.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

// NewGroup returns a group whose duties end when parent ends or Stop is called.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context ends when the group stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts one duty.
func (g *Group) Go(task func(ctx context.Context)) {
	g.tasks.Go(func() { task(g.ctx) })
}

// Every runs step at once and then after each interval until the group stops.
func (g *Group) Every(interval time.Duration, task func(ctx context.Context)) {
	g.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			task(ctx)
			Sleep(ctx, interval)
		}
	})
}

// Stop asks every duty to end.
func (g *Group) Stop() { g.cancel() }

// Wait returns when every duty has ended.
func (g *Group) Wait() { g.tasks.Wait() }

// Sleep waits for the interval and reports false if ctx ended first. It returns
// at once if the interval is not above zero.
func Sleep(ctx context.Context, interval time.Duration) bool {
	if interval <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
