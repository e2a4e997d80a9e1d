package gateway

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/clientrequest"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/platform"
)

// flight is a caller's request that the gateway works on. It keeps the
// configuration that it began with.
type flight struct {
	gateway       *Gateway
	http          *fasthttp.RequestCtx
	call          clientrequest.Call
	configuration *configuration.Configuration
	route         *configuration.Route
	workspace     *configuration.Workspace
	regions       []string
	arrived       time.Time
	// returned is true if the caller was refused before.
	returned bool
	// deadline is when the caller or the route gives up.
	deadline time.Time
	// ctx ends when the caller leaves.
	ctx    context.Context
	cancel context.CancelFunc
	conn   net.Conn
}

// flights holds the requests in flight. It is safe for concurrent use.
type flights struct {
	mu   sync.Mutex
	open map[*flight]struct{}
}

func (f *flights) add(added *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == nil {
		f.open = map[*flight]struct{}{}
	}
	f.open[added] = struct{}{}
}

func (f *flights) remove(removed *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, removed)
}

func (f *flights) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.open)
}

// cancelLeft cancels the flights whose callers left.
func (f *flights) cancelLeft(left func(net.Conn) bool) {
	f.mu.Lock()
	open := make([]*flight, 0, len(f.open))
	for held := range f.open {
		open = append(open, held)
	}
	f.mu.Unlock()
	for _, held := range open {
		if left(held.conn) {
			held.cancel()
		}
	}
}

// begin starts the work on a request that was read whole.
func (g *Gateway) begin(c *fasthttp.RequestCtx) *flight {
	f := &flight{
		gateway: g, http: c, call: platform.ParseRequestHeader(&c.Request.Header), arrived: time.Now(), conn: c.Conn(),
		configuration: g.observer.Configuration(),
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	g.flights.add(f)
	return f
}

// end ends the work on the request.
func (f *flight) end() {
	f.cancel()
	f.gateway.flights.remove(f)
}
