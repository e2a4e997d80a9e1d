// Package emulator emulates a model engine on the runtime's clock. It processes prompts and
// generates answers in batched passes, whose durations follow from the engine's
// configuration. It does no I/O and does not depend on the sender of the requests.
package emulator

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
)

// Engine processes requests in passes. Set the exported fields before Run. The methods are
// safe for concurrent use.
type Engine struct {
	// Config gives the number of slots and the duration of each part of a pass.
	Config configuration.Engine
	// QueueCapacity is the number of requests that can be queued beyond those in the batch.
	QueueCapacity int

	mu       sync.Mutex
	slowdown float64
	queue    []*Request
	batch    []*Request
	wake     chan struct{}
}

// NewEngine returns an engine without requests.
func NewEngine(config configuration.Engine, queueCapacity int) *Engine {
	return &Engine{Config: config, QueueCapacity: queueCapacity, slowdown: 1, wake: make(chan struct{}, 1)}
}

// SetSlowdown sets the factor by which passes take longer than Config gives. At 1 the engine
// has its normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Load returns the number of requests in the batch and in the queue.
func (e *Engine) Load() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch), len(e.queue)
}

// Submit queues a request by priority. It reports false if the queue is full.
func (e *Engine) Submit(req *Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) >= e.QueueCapacity+max(0, e.Config.Slots-len(e.batch)) {
		return false
	}
	req.pendingPrefill, req.pendingAnswer = req.PromptTokens, req.AnswerTokens
	index, _ := slices.BinarySearchFunc(e.queue, req, func(queued, added *Request) int {
		// Requests with the same priority stay in order of arrival.
		return cmp.Or(cmp.Compare(queued.Priority, added.Priority), -1)
	})
	e.queue = slices.Insert(e.queue, index, req)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return true
}

// Cancel removes a request from the queue or the batch.
func (e *Engine) Cancel(req *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := func(other *Request) bool { return other == req }
	e.queue = slices.DeleteFunc(e.queue, same)
	e.batch = slices.DeleteFunc(e.batch, same)
}

// Run processes requests until ctx is done.
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
