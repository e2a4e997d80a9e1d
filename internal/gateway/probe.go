package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// probeInterval is the interval between calls to health paths, which bounds them to ten a
	// second for each gateway, however many endpoints there are.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds a call. Health paths respond immediately; a later report would be too
	// old to be useful.
	probeTimeout = 200 * time.Millisecond
)

// Results of calls to health paths.
const (
	probeReported = "reported"
	probeNoReport = "noReport"
	probeRefused  = "refused"
	probeFailed   = "failed"
)

func newProbeCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "mimosaward_gateway_probes_total", Help: "Calls to the health paths of endpoints, by result.",
	}, []string{"result"})
}

// probeNext calls the health path of an endpoint if one is due. It does not wait for the response.
func (g *Gateway) probeNext() {
	if !g.ready() {
		return
	}
	if endpoint, path, due := g.dispatcher.NextProbe(); due {
		g.tasks.GoBrief(func(ctx context.Context) { g.probe(ctx, endpoint, path) })
	}
}

// errProbeRefused means that the response to a call to a health path was not a successful one.
var errProbeRefused = errors.New("endpoint refused the call")

// probe calls the health path of an endpoint and records the load that it reports.
func (g *Gateway) probe(ctx context.Context, endpoint clusterstate.Endpoint, path string) {
	response, err := g.callHealthPath(ctx, &endpoint, path)
	result := probeReported
	switch {
	case errors.Is(err, errProbeRefused):
		result = probeRefused
	case err != nil:
		result = probeFailed
	case response.Load == nil || response.Load.Percent == 0:
		result = probeNoReport
	}
	g.metrics.probes.WithLabelValues(result).Inc()
	if result == probeReported || result == probeNoReport {
		g.dispatcher.RecordProbe(endpoint, response.Load)
	} else {
		g.dispatcher.RecordProbe(endpoint, nil)
	}
	if result != probeReported && ctx.Err() == nil {
		g.Log.Emit(event.ProbeFailed, event.Fields{
			"endpoint": endpoint.ID, "incarnation": endpoint.Incarnation, "path": path, "result": result, "status": response.Status, "error": errorText(err),
		})
	}
}

// callHealthPath calls the health path of an endpoint on a pooled connection.
func (g *Gateway) callHealthPath(ctx context.Context, endpoint *clusterstate.Endpoint, path string) (response platform.ResponseHeader, err error) {
	deadline := time.Now().Add(probeTimeout)
	callCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := g.pool.Get(callCtx, endpoint.Address, false)
	if err != nil {
		return response, err
	}
	stopAbort := context.AfterFunc(callCtx, conn.Abort)
	defer stopAbort()
	exchange, err := g.pool.Send(conn, platform.NewHealthRequest(endpoint, path), nil, deadline)
	if err != nil {
		return response, err
	}
	response, err = readHealth(exchange, deadline)
	if err != nil || !stopAbort() {
		exchange.Discard()
		return response, err
	}
	exchange.Finish(!response.Close, response.IdleTimeout)
	return response, nil
}

// readHealth reads the response to a call to a health path. A response with a request ID belongs to
// an earlier request on the connection; one that is not successful may, and then the response to
// this call is still to come.
func readHealth(exchange *connpool.Exchange, deadline time.Time) (response platform.ResponseHeader, err error) {
	header, err := exchange.ReadHeader(deadline, true, func(h *fasthttp.ResponseHeader) bool {
		return platform.ParseResponseHeader(h).RequestID == ""
	})
	if err != nil {
		return response, err
	}
	response = platform.ParseResponseHeader(header)
	if response.Status >= fasthttp.StatusMultipleChoices {
		return response, errors.Wrapf(errProbeRefused, "status %d", response.Status)
	}
	_, err = exchange.ReadAll(deadline)
	return response, err
}
