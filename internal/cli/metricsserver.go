package cli

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	dto "github.com/prometheus/client_model/go"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
)

const (
	metricsPath = "/metrics"
	// metricsConnections is the maximum number of connections at the address of the metrics.
	metricsConnections = 16
	// metricsHeaderTime is the time in which a metrics request must arrive, and metricsIdleTime the
	// time until the next one.
	metricsHeaderTime = 2 * time.Second
	metricsIdleTime   = time.Minute
	// noBody is the length that the HTTP library returns for a request that announces no body.
	noBody = -2
)

// gatherMetrics returns a gatherer of the metrics of the registry, followed by those of the Go
// runtime: monitoring that keeps only the first bytes of a response has those of the program.
func gatherMetrics(registry *prometheus.Registry) prometheus.Gatherer {
	runtime := prometheus.NewRegistry()
	runtime.MustRegister(collectors.NewGoCollector())
	return prometheus.GathererFunc(func() ([]*dto.MetricFamily, error) {
		own, err := registry.Gather()
		ofRuntime, runtimeErr := runtime.Gather()
		return append(own, ofRuntime...), errors.CombineErrors(err, runtimeErr)
	})
}

// newMetricsLimiter returns the limits of connections to the address of the metrics.
func newMetricsLimiter(log *event.Logger) *callerconn.Limiter {
	return &callerconn.Limiter{
		Max:        metricsConnections,
		HeaderTime: func() time.Duration { return metricsHeaderTime }, IdleTime: func() time.Duration { return metricsIdleTime },
		Unread: callerconn.UnreadRateOf(0),
		OnLimit: func(limit callerconn.Limit, remote string) {
			log.Emit(event.ClientLimited, event.Fields{"address": "metrics", "limit": string(limit), "remote": remote})
		},
	}
}

// serveMetrics serves metrics until ctx is done. If the server fails, for example
// because the port is in use, it logs the error and the process runs without metrics.
func serveMetrics(ctx context.Context, address string, registry *prometheus.Registry, log *event.Logger) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		log.Emit(event.ServerFailed, event.Fields{"address": address, "error": err.Error()})
		return
	}
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(gatherMetrics(registry), promhttp.HandlerOpts{}))
	server := &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			switch {
			case !c.IsGet() || c.Request.Header.ContentLength() != 0 && c.Request.Header.ContentLength() != noBody:
				// The body, which is not read, can't be told from a next request.
				c.SetConnectionClose()
				c.SetStatusCode(fasthttp.StatusMethodNotAllowed)
			case string(c.Path()) != metricsPath:
				c.SetStatusCode(fasthttp.StatusNotFound)
			default:
				metrics(c)
			}
		},
		StreamRequestBody: true, ConnState: callerconn.RecordState, NoDefaultServerHeader: true, DisablePreParseMultipartForm: true,
		// The limiter reports what clients do.
		Logger: stdlog.New(io.Discard, "", 0),
	}
	group := concurrency.NewGroup(ctx)
	group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
	})
	if err := server.Serve(newMetricsLimiter(log).Wrap(listener)); err != nil && ctx.Err() == nil {
		log.Emit(event.ServerFailed, event.Fields{"address": address, "error": err.Error()})
	}
	group.Stop()
	group.Wait()
}
