package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/clientrequest"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/platform"
)

// request is a client request that the gateway is handling. It uses the configuration
// that was in force when it arrived.
type request struct {
	gateway       *Gateway
	httpCtx       *fasthttp.RequestCtx
	clientRequest clientrequest.Request
	// fingerprint identifies what the request asks for.
	fingerprint string
	// crashChecks are the checks of the endpoints whose connections broke under the request.
	crashChecks   []*crashCheck
	configuration *configuration.Configuration
	route         *configuration.Route
	workspace     *configuration.Workspace
	regions       []string
	arrived       time.Time
	// isRetry is true if the client appears to retry after a refusal.
	isRetry bool
	// isTrial is true if the request is a trial of a rejected prompt part.
	isTrial bool
	// deadline is when the client's timeout or the route's timeout expires.
	deadline time.Time
	// ctx is canceled when the client disconnects or the request ends.
	ctx    context.Context
	cancel context.CancelCauseFunc
	conn   net.Conn
	// caller is the limited connection, nil if it is not limited.
	caller *callerconn.Conn
	// body is nil if it was not read.
	body *requestBody
	// sentTo is the ID of the endpoint to which the request was last sent, nil before.
	sentTo atomic.Pointer[string]
	// sentAt is when the request was last sent to an endpoint.
	sentAt time.Time
	// grant and attempt are the current ones, which a panic releases.
	grant   *dispatch.Grant
	attempt *attempt
	// pending is the current attempt until it shows that the endpoint has begun to run it.
	pending atomic.Pointer[pendingAttempt]
	// mayHaveRun is true from the start of an attempt, unless the endpoint certainly did not
	// execute the request.
	mayHaveRun bool
}

// errCallerLeft is the cause of the cancellation of a request whose client disconnected.
var errCallerLeft = errors.New("the caller left")

// callerLeft reports whether the client disconnected before the request ended.
func (r *request) callerLeft() bool { return errors.Is(context.Cause(r.ctx), errCallerLeft) }

// requestTracker tracks the requests in flight. It is safe for concurrent use.
type requestTracker struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func (t *requestTracker) add(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.requests == nil {
		t.requests = map[*request]struct{}{}
	}
	t.requests[r] = struct{}{}
}

func (t *requestTracker) remove(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.requests, r)
}

func (t *requestTracker) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}

// all returns the requests in flight.
func (t *requestTracker) all() []*request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.requests))
}

// cancelDisconnected cancels the requests whose clients disconnected.
func (t *requestTracker) cancelDisconnected(disconnected func(net.Conn) bool) {
	for _, r := range t.all() {
		if disconnected(r.conn) {
			r.cancel(errCallerLeft)
		}
	}
}

// beginRequest creates and tracks the request for c, whose body is nil if it could not be read.
func (g *Gateway) beginRequest(c *fasthttp.RequestCtx, body *requestBody) *request {
	r := &request{
		gateway: g, httpCtx: c, clientRequest: platform.ParseRequestHeader(&c.Request.Header), arrived: time.Now(), conn: callerconn.Unwrap(c.Conn()), caller: callerconn.Of(c.Conn()),
		body: body, configuration: g.configuration(),
	}
	if body != nil {
		r.fingerprint = fingerprint(&r.clientRequest, body.blocks...)
	}
	r.ctx, r.cancel = context.WithCancelCause(context.Background())
	g.requests.add(r)
	return r
}

// settle ends the time in which the current attempt can be withdrawn, and returns false if that
// happened before.
func (r *request) settle() bool {
	pending := r.pending.Swap(nil)
	return pending == nil || pending.settle()
}

// end cancels the request's context and stops tracking it.
func (r *request) end() {
	r.cancel(nil)
	r.gateway.requests.remove(r)
	r.body.drop()
}
