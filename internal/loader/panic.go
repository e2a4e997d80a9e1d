package loader

import (
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/event"
)

// containPanics returns a handler that answers 500 if handle panics.
func (l *Loader) containPanics(handle fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(c *fasthttp.RequestCtx) {
		defer func() {
			if value := recover(); value != nil {
				l.Log.EmitPanic(event.RequestPanicked, value, debug.Stack(), event.Fields{"path": string(c.Path())})
				c.Response.Reset()
				c.SetStatusCode(fasthttp.StatusInternalServerError)
				c.SetConnectionClose()
			}
		}()
		handle(c)
	}
}

// recordCallPanic logs a panic in a call of another process.
func (l *Loader) recordCallPanic(method string, value any, stack []byte) {
	l.Log.EmitPanic(event.CallPanicked, value, stack, event.Fields{"method": method})
}

// handleTaskPanic logs a panic in a background task. A loader that lacks a component exits: the
// engine serves meanwhile, and the next loader continues from the staged chunks.
func (l *Loader) handleTaskPanic(value any, stack []byte, needed bool) {
	l.Log.EmitPanic(event.TaskPanicked, value, stack, event.Fields{"needed": needed})
	if !needed {
		return
	}
	select {
	case l.failures <- errors.Newf("a component panicked: %v", value):
	default:
		// The loader is already exiting.
	}
}
