package gateway

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/eventstream"
)

// newPanickingRequest returns a request with a grant, whose outcomes are appended to outcomes.
func newPanickingRequest(outcomes *[]dispatch.Outcome) *request {
	g := &Gateway{Log: event.Discard(), metrics: newGatewayMetrics(prometheus.NewRegistry())}
	r := &request{gateway: g, httpCtx: &fasthttp.RequestCtx{}, arrived: time.Now()}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	r.grant = dispatch.NewRemoteGrant(clusterstate.Endpoint{ID: "engine"}, 1, dispatch.Decision{}, func(outcome dispatch.Outcome) { *outcomes = append(*outcomes, outcome) })
	g.requests.add(r)
	return r
}

// Guards against the end of the process when one request panics, and against a grant, a
// tracking entry or a context that it leaves behind. A request that may have run is not
// answered as one that certainly did not.
func TestPanicAnswersOnlyThatRequest(t *testing.T) {
	for mayHaveRun, status := range map[bool]int{true: fasthttp.StatusBadGateway, false: fasthttp.StatusServiceUnavailable} {
		synctest.Test(t, func(t *testing.T) {
			var outcomes []dispatch.Outcome
			r := newPanickingRequest(&outcomes)
			r.mayHaveRun = mayHaveRun
			r.contain(func() { panic("broken") })
			if got := r.httpCtx.Response.StatusCode(); got != status {
				t.Errorf("a request that may have run (%t) got the status %d, want %d", mayHaveRun, got, status)
			}
			if len(outcomes) != 1 || outcomes[0] != dispatch.Released || r.gateway.requests.count() != 0 || r.ctx.Err() == nil {
				t.Errorf("outcomes %v, %d tracked requests, context %v; want everything released", outcomes, r.gateway.requests.count(), r.ctx.Err())
			}
		})
	}
}

// Guards against a stream that panics midway and appears complete to the caller.
func TestPanicAbortsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var outcomes []dispatch.Outcome
		relay := &streamRelay{request: newPanickingRequest(&outcomes), attempt: &attempt{}}
		relay.events = eventstream.Reader{Read: func([]byte) (int, error) { panic("broken") }}
		buffer := make([]byte, 10)
		for range 2 {
			if _, err := relay.Read(buffer); err == nil || errors.Is(err, io.EOF) {
				t.Errorf("read returned %v, want an error that aborts the stream", err)
			}
		}
		relay.request.cancel(errCallerLeft)
	})
}
