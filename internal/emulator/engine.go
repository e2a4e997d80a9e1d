// Package emulator imitates a model engine on the runtime's clock: it reads prompts and
// writes answers in batched passes, as the engine's description says. It does no I/O and
// knows nothing about who sends the work.
package emulator

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
)

// Engine works on requests in passes. Set the exported fields before Run; the methods are
// safe for concurrent use.
type Engine struct {
	// Model says how long each part of a pass takes.
	Model configuration.Engine
	// QueueCapacity is the number of requests that wait beyond those in the batch.
	QueueCapacity int

	mu      sync.Mutex
	pace    float64
	waiting []*Request
	batch   []*Request
	added   chan struct{}
}

// NewEngine returns an engine without work.
func NewEngine(model configuration.Engine, queue int) *Engine {
	return &Engine{Model: model, QueueCapacity: queue, pace: 1, added: make(chan struct{}, 1)}
}

// SetSlowdown makes the engine slower than usual by a factor above 1.
func (e *Engine) SetSlowdown(pace float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace = pace
}

// Load returns the requests in the batch and those that wait.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch), len(e.waiting)
}

// Submit gives the engine a request, and reports false if it has no room for it.
func (e *Engine) Submit(work *Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) >= e.QueueCapacity+max(0, e.Model.Slots-len(e.batch)) {
		return false
	}
	work.unread, work.unwritten = work.Prompt, work.Answer
	place, _ := slices.BinarySearchFunc(e.waiting, work, func(held, added *Request) int {
		// Equal ones keep the order of their arrival.
		return cmp.Or(cmp.Compare(held.Priority, added.Priority), -1)
	})
	e.waiting = slices.Insert(e.waiting, place, work)
	select {
	case e.added <- struct{}{}:
	default:
	}
	return true
}

// Cancel takes a request away.
func (e *Engine) Cancel(work *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	is := func(held *Request) bool { return held == work }
	e.waiting = slices.DeleteFunc(e.waiting, is)
	e.batch = slices.DeleteFunc(e.batch, is)
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		next := e.begin()
		if next == nil {
			select {
			case <-e.added:
			case <-ctx.Done():
			}
			continue
		}
		concurrency.Sleep(ctx, next.duration)
		for _, told := range e.end(next) {
			told.work.OnEvent(told.event)
		}
	}
}
