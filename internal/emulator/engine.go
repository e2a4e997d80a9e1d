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

	mu       sync.Mutex
	slowdown float64
	queue    []*Request
	batch    []*Request
	wake     chan struct{}
}

// NewEngine returns an engine without work.
func NewEngine(model configuration.Engine, queueCapacity int) *Engine {
	return &Engine{Model: model, QueueCapacity: queueCapacity, slowdown: 1, wake: make(chan struct{}, 1)}
}

// SetSlowdown makes the engine slower than usual by a factor above 1.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Load returns the requests in the batch and those that wait.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch), len(e.queue)
}

// Submit gives the engine a request, and reports false if it has no room for it.
func (e *Engine) Submit(req *Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) >= e.QueueCapacity+max(0, e.Model.Slots-len(e.batch)) {
		return false
	}
	req.pendingPrefill, req.pendingAnswer = req.Prompt, req.Answer
	index, _ := slices.BinarySearchFunc(e.queue, req, func(queued, added *Request) int {
		// Equal ones keep the order of their arrival.
		return cmp.Or(cmp.Compare(queued.Priority, added.Priority), -1)
	})
	e.queue = slices.Insert(e.queue, index, req)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// Cancel takes a request away.
func (e *Engine) Cancel(req *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := func(other *Request) bool { return other == req }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.batch = slices.DeleteFunc(e.batch, same)
}

// Run works until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		current := e.startPass()
		if current == nil {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		concurrency.Sleep(ctx, current.duration)
		for _, delivered := range e.finishPass(current) {
			delivered.req.OnEvent(delivered.event)
		}
	}
}
