package gateway

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/event"
)

// reasonPanicked is the reason for the response to a request that panicked.
const reasonPanicked = "internalError"

// errPanicked aborts a stream that panicked.
var errPanicked = errors.New("the stream panicked")

// contain runs the handling of the request. If it panics, only this request fails: what it
// holds is released and the client gets an error.
func (r *request) contain(serve func()) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		r.gateway.recordPanic(r.clientRequest.ID, value)
		defer r.end()
		if r.attempt != nil {
			r.attempt.discard()
		}
		if r.grant != nil {
			r.grant.Release()
		}
		if r.mayHaveRun {
			r.refuse(possiblyExecuted(reasonPanicked))
		} else {
			r.refuse(notExecuted(reasonPanicked, defaultRetryAfter))
		}
	}()
	serve()
}

// containPanics returns a handler that answers 503 if handle panics.
func (g *Gateway) containPanics(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		defer func() {
			if value := recover(); value != nil {
				g.recordPanic("", value)
				c.Response.Reset()
				c.SetStatusCode(fasthttp.StatusServiceUnavailable)
				c.SetConnectionClose()
			}
		}()
		handle(c)
	}
}

// recordPanic logs and counts a panic. It must be called by the function that recovered it.
func (g *Gateway) recordPanic(requestID string, value any) {
	g.metrics.panics.Inc()
	g.Log.EmitPanic(event.RequestPanicked, value, debug.Stack(), event.Fields{"request": requestID})
}

// recordCallPanic logs and counts a panic in a call of another process.
func (g *Gateway) recordCallPanic(method string, value any, stack []byte) {
	g.metrics.panics.Inc()
	g.Log.EmitPanic(event.CallPanicked, value, stack, event.Fields{"method": method})
}

// handleTaskPanic logs and counts a panic in a background task. A gateway that lacks a
// component stops as planned: it serves what it has accepted, and its replacement has all of
// its components.
func (g *Gateway) handleTaskPanic(value any, stack []byte, needed bool) {
	g.metrics.panics.Inc()
	g.Log.EmitPanic(event.TaskPanicked, value, stack, event.Fields{"needed": needed})
	if !needed {
		return
	}
	select {
	case g.failures <- errors.Newf("a component panicked: %v", value):
	default:
		// The gateway is already stopping.
	}
}
