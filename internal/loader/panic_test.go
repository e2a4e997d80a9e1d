package loader

import (
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/event"
)

// Guards against the end of a loader when the request of another instance panics.
func TestPanicAnswersOnlyThatRequest(t *testing.T) {
	l := &Loader{Log: event.Discard()}
	c := &fasthttp.RequestCtx{}
	l.containPanics(func(*fasthttp.RequestCtx) { panic("broken") })(c)
	if got := c.Response.StatusCode(); got != fasthttp.StatusInternalServerError {
		t.Errorf("a request that panicked got the status %d, want 500", got)
	}
}
