package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/metrics"
)

// gatewayMeter counts what the gateway does. Its label values come from bounded sets:
// the workspaces of the configuration, the kinds of routes, the fixed outcomes.
type gatewayMeter struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	first      *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
	waits      prometheus.Histogram
	deviations prometheus.Histogram
}

// The outcomes of requests.
const (
	outcomeServed  = "served"
	outcomeFailed  = "failed"
	outcomeRefused = "refused"
	outcomeLeft    = "callerLeft"
)

// The results of attempts.
const (
	attemptAnswered    = "answered"
	attemptUnsent      = "unsent"
	attemptRefused     = "refused"
	attemptMisdirected = "misdirected"
	attemptFailed      = "failed"
)

func newGatewayMeter(registry prometheus.Registerer) *gatewayMeter {
	m := &gatewayMeter{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_requests_total", Help: "Requests by workspace, kind of route and outcome.",
		}, []string{"workspace", "kind", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_refusals_total", Help: "Requests that the gateway did not serve, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_attempts_total", Help: "Requests sent to endpoints, by result.",
		}, []string{"result"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mimosaward_gateway_first_seconds", Help: "Time to the answer, or to a stream's first event, by workspace.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 16),
		}, []string{"workspace"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mimosaward_gateway_request_seconds", Help: "Time to the end of the answer, by kind of route.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.8, 14),
		}, []string{"kind"}),
		waits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mimosaward_gateway_wait_seconds", Help: "Time that requests waited for an endpoint.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 10),
		}),
		deviations: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mimosaward_gateway_prediction_error_seconds", Help: "Time to a stream's first event, less the predicted one.",
			Buckets: []float64{-0.4, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6},
		}),
	}
	registry.MustRegister(m.requests, m.refusals, m.attempts, m.first, m.duration, m.waits, m.deviations)
	return m
}

// ended counts a request that was answered or given up.
func (m *gatewayMeter) ended(f *flight, outcome string, first time.Duration) {
	kind, workspace := kindLabel(f.route), workspaceLabel(f.workspace)
	m.requests.WithLabelValues(workspace, kind, outcome).Inc()
	if outcome == outcomeServed {
		m.first.WithLabelValues(workspace).Observe(first.Seconds())
		m.duration.WithLabelValues(kind).Observe(time.Since(f.arrived).Seconds())
	}
}

func (m *gatewayMeter) refused(f *flight, reason string) {
	m.requests.WithLabelValues(workspaceLabel(f.workspace), kindLabel(f.route), outcomeRefused).Inc()
	m.refusals.WithLabelValues(reason).Inc()
}

func (m *gatewayMeter) attempted(grant *dispatch.Grant, result string) {
	m.attempts.WithLabelValues(result).Inc()
	m.waits.Observe(grant.Decision.QueueTime.Seconds())
}

// kindLabel names the kind of a route, or that there is none.
func kindLabel(route *configuration.Route) string {
	if route == nil {
		return "none"
	}
	return route.Kind.String()
}

func workspaceLabel(workspace *configuration.Workspace) string {
	if workspace == nil {
		return metrics.OtherWorkspace
	}
	return workspace.Name
}

// registerGauges adds the values that are read when somebody asks for them.
func (g *Gateway) registerGauges(registry prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("mimosaward_gateway_in_flight", "Requests in flight.", func() float64 { return float64(g.flights.count()) })
	gauge("mimosaward_gateway_configuration_version", "Version of the configuration in force, 0 before the first.", func() float64 {
		if current := g.observer.Configuration(); current != nil {
			return float64(current.Version())
		}
		return 0
	})
	gauge("mimosaward_gateway_peers_alive", "Other gateways that are alive.", func() float64 { return float64(len(g.table.Alive())) })
	gauge("mimosaward_gateway_ready", "1 while the gateway takes requests.", func() float64 {
		if g.ready() {
			return 1
		}
		return 0
	})
	gauge("mimosaward_gateway_store_calls", "Calls made to the store since the start.", func() float64 { return float64(g.store.Calls()) })
	gauge("mimosaward_gateway_connections_opened", "Connections opened to endpoints since the start.", func() float64 { return float64(g.pool.Opened()) })
	gauge("mimosaward_gateway_retry_credit", "Retries that are allowed now.", g.retries.Credit)
	registry.MustRegister(&endpointCollector{dispatcher: g.dispatcher}, &copyCollector{observer: g.observer})
}
