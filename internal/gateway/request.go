package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

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
	configuration *configuration.Configuration
	route         *configuration.Route
	workspace     *configuration.Workspace
	regions       []string
	arrived       time.Time
	// isRetry is true if the client appears to retry after a refusal.
	isRetry bool
	// deadline is when the client's timeout or the route's timeout expires.
	deadline time.Time
	// ctx is canceled when the client disconnects or the request ends.
	ctx    context.Context
	cancel context.CancelFunc
	conn   net.Conn
	// grant and attempt are the current ones, which a panic releases.
	grant   *dispatch.Grant
	attempt *attempt
	// mayHaveRun is true from the start of an attempt, unless the endpoint certainly did not
	// execute the request.
	mayHaveRun bool
}

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

// cancelDisconnected cancels the requests whose clients disconnected.
func (t *requestTracker) cancelDisconnected(disconnected func(net.Conn) bool) {
	t.mu.Lock()
	snapshot := make([]*request, 0, len(t.requests))
	for r := range t.requests {
		snapshot = append(snapshot, r)
	}
	t.mu.Unlock()
	for _, r := range snapshot {
		if disconnected(r.conn) {
			r.cancel()
		}
	}
}

// beginRequest creates and tracks the request for c, which was read completely.
func (g *Gateway) beginRequest(c *fasthttp.RequestCtx) *request {
	r := &request{
		gateway: g, httpCtx: c, clientRequest: platform.ParseRequestHeader(&c.Request.Header), arrived: time.Now(), conn: c.Conn(),
		configuration: g.observer.Configuration(),
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	g.requests.add(r)
	return r
}

// end cancels the request's context and stops tracking it.
func (r *request) end() {
	r.cancel()
	r.gateway.requests.remove(r)
}
