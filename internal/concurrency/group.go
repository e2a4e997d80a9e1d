// Package concurrency manages the background goroutines of a process: Group
// starts and stops them together, and Semaphore limits how many execute a section
// of code concurrently. No other package starts goroutines.
package concurrency

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Group runs tasks, each in its own goroutine, until its context is done. A
// panic in a task propagates to the caller of Wait, and at once to the PanicHandler of the
// context.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

// NewGroup returns a group whose context is canceled when parent is done or Stop
// is called.
func NewGroup(parent context.Context) *Group {
	ctx, cancel := context.WithCancel(parent)
	return &Group{ctx: ctx, cancel: cancel}
}

// Context returns the context of the group, which is canceled when the group
// stops.
func (g *Group) Context() context.Context { return g.ctx }

// Go starts a task in a new goroutine.
func (g *Group) Go(task func(ctx context.Context)) {
	g.tasks.Go(func() {
		defer func() {
			if value := recover(); value != nil {
				reportPanic(g.ctx, value, true)
				panic(value)
			}
		}()
		task(g.ctx)
	})
}

// GoBrief starts a task that the process can do without, such as one for a single request.
// If the context has a PanicHandler, a panic ends only this task.
func (g *Group) GoBrief(task func(ctx context.Context)) {
	g.tasks.Go(func() { runBrief(g.ctx, task) })
}

// Every starts a goroutine that runs task immediately and again at each tick of the
// interval, until the group stops. If the context has a PanicHandler, the task runs again at
// the next tick after a panic.
func (g *Group) Every(interval time.Duration, task func(ctx context.Context)) {
	g.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			runBrief(ctx, task)
			Tick(ctx, interval)
		}
	})
}

// Stop cancels the context of all tasks.
func (g *Group) Stop() { g.cancel() }

// Wait blocks until all tasks have returned.
func (g *Group) Wait() { g.tasks.Wait() }

// Sleep waits for the duration and reports whether it elapsed before ctx was
// done. If the duration is not positive, it returns immediately.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
