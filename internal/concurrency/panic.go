package concurrency

import (
	"context"
	"runtime/debug"

	"github.com/sourcegraph/conc/panics"
)

// PanicHandler receives the panic of a task and its stack. needed is true if the process lacks
// a component from now on. It may be called concurrently.
type PanicHandler func(value any, stack []byte, needed bool)

// panicHandlerKey is the key of the PanicHandler in a context.
type panicHandlerKey struct{}

// WithPanicHandler returns a context whose groups report the panics of their tasks to handler.
func WithPanicHandler(ctx context.Context, handler PanicHandler) context.Context {
	return context.WithValue(ctx, panicHandlerKey{}, handler)
}

// reportPanic reports the panic that the calling deferred function recovered. It reports false
// if there is no handler. A panic that Wait of an inner group passed on was reported there.
func reportPanic(ctx context.Context, value any, needed bool) bool {
	handler, ok := ctx.Value(panicHandlerKey{}).(PanicHandler)
	if !ok {
		return false
	}
	if _, reported := value.(*panics.Recovered); !reported {
		handler(value, debug.Stack(), needed)
	}
	return true
}

// runBrief runs a task whose panic is reported and ends only the task. Without a handler, the
// panic goes on.
func runBrief(ctx context.Context, task func(ctx context.Context)) {
	defer func() {
		if value := recover(); value != nil && !reportPanic(ctx, value, false) {
			panic(value)
		}
	}()
	task(ctx)
}
