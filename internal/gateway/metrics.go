package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/membudget"
	"github.com/mimosaward/mimosaward/internal/metrics"
)

// gatewayMetrics holds the metrics of requests and attempts. The label values come from
// bounded sets: the workspaces of the configuration, the kinds of routes, and fixed
// outcomes, reasons and results.
type gatewayMetrics struct {
	requests         *prometheus.CounterVec
	refusals         *prometheus.CounterVec
	attempts         *prometheus.CounterVec
	timeToFirst      *prometheus.HistogramVec
	duration         *prometheus.HistogramVec
	queueTimes       prometheus.Histogram
	predictionErrors prometheus.Histogram
	suspectedCrashes prometheus.Counter
	confirmedCrashes prometheus.Counter
	panics           prometheus.Counter
	probes           *prometheus.CounterVec
	lent             *prometheus.CounterVec
	limits           *prometheus.CounterVec
	evictions        *prometheus.CounterVec
}

// Outcomes of requests.
const (
	outcomeServed       = "served"
	outcomeFailed       = "failed"
	outcomeRefused      = "refused"
	outcomeDisconnected = "callerLeft"
)

// Results of attempts.
const (
	attemptAnswered    = "answered"
	attemptUnsent      = "unsent"
	attemptRefused     = "refused"
	attemptMisdirected = "misdirected"
	attemptFailed      = "failed"
	attemptWithdrawn   = "withdrawn"
)

func newGatewayMetrics(registry prometheus.Registerer) *gatewayMetrics {
	m := &gatewayMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_requests_total", Help: "Requests by workspace, kind of route and outcome.",
		}, []string{"workspace", "kind", "outcome"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_refusals_total", Help: "Requests that the gateway did not serve, by reason.",
		}, []string{"reason"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_attempts_total", Help: "Requests sent to endpoints, by result.",
		}, []string{"result"}),
		timeToFirst: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mimosaward_gateway_first_seconds", Help: "Time to the answer, or to a stream's first event, by workspace.",
			Buckets: prometheus.ExponentialBuckets(0.005, 1.6, 16),
		}, []string{"workspace"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mimosaward_gateway_request_seconds", Help: "Time to the end of the answer, by kind of route.",
			Buckets: prometheus.ExponentialBuckets(0.01, 1.8, 14),
		}, []string{"kind"}),
		queueTimes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mimosaward_gateway_wait_seconds", Help: "Time that requests waited for an endpoint.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 10),
		}),
		predictionErrors: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mimosaward_gateway_prediction_error_seconds", Help: "Time to a stream's first event, less the predicted one.",
			Buckets: []float64{-0.4, -0.2, -0.1, -0.05, 0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6},
		}),
		suspectedCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mimosaward_gateway_suspected_crashes_total", Help: "Requests under which the connection to an engine broke before or soon after the first event.",
		}),
		confirmedCrashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mimosaward_gateway_confirmed_crashes_total", Help: "Engine starts that ended under such requests.",
		}),
		panics: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mimosaward_gateway_panics_total", Help: "Requests, calls and tasks that failed because of a fault in the program.",
		}),
		probes: newProbeCounter(),
		lent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_lent_total", Help: "Places at owned engines granted to other gateways, by their cell: own or other.",
		}, []string{"cell"}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_client_limits_total", Help: "Connections of clients that reached a limit, by address and limit.",
		}, []string{"address", "limit"}),
		evictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_gateway_memory_evictions_total", Help: "Bodies, responses and messages that were given up because memory was used up, by class.",
		}, []string{"class"}),
	}
	registry.MustRegister(
		m.requests, m.refusals, m.attempts, m.timeToFirst, m.duration, m.queueTimes, m.predictionErrors, m.suspectedCrashes, m.confirmedCrashes, m.panics, m.probes, m.lent, m.limits, m.evictions,
	)
	return m
}

// recordEnd counts a request that ended after it was sent to an endpoint. It observes the
// durations only if the request was served.
func (m *gatewayMetrics) recordEnd(r *request, outcome string, timeToFirst time.Duration) {
	kind, workspace := kindLabel(r.route), workspaceLabel(r.workspace)
	m.requests.WithLabelValues(workspace, kind, outcome).Inc()
	if outcome == outcomeServed {
		m.timeToFirst.WithLabelValues(workspace).Observe(timeToFirst.Seconds())
		m.duration.WithLabelValues(kind).Observe(time.Since(r.arrived).Seconds())
	}
}

func (m *gatewayMetrics) recordRefusal(r *request, reason string) {
	m.requests.WithLabelValues(workspaceLabel(r.workspace), kindLabel(r.route), outcomeRefused).Inc()
	m.refusals.WithLabelValues(reason).Inc()
}

func (m *gatewayMetrics) recordAttempt(grant *dispatch.Grant, result string) {
	m.attempts.WithLabelValues(result).Inc()
	m.queueTimes.Observe(grant.Decision.QueueTime.Seconds())
}

// kindLabel returns the label for the kind of a route, or "none" without a route.
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

// registerGauges registers the metrics whose values are computed on collection.
func (g *Gateway) registerGauges(registry prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("mimosaward_gateway_in_flight", "Requests in flight.", func() float64 { return float64(g.requests.count()) })
	gauge("mimosaward_gateway_configuration_version", "Version of the configuration in force, 0 before the first.", func() float64 {
		if config := g.observer.Configuration(); config != nil {
			return float64(config.Version())
		}
		return 0
	})
	gauge("mimosaward_gateway_peers_alive", "Other gateways that are alive.", func() float64 { return float64(len(g.peerTable.Alive())) })
	gauge("mimosaward_gateway_ready", "1 while the gateway takes requests.", func() float64 {
		if g.ready() {
			return 1
		}
		return 0
	})
	gauge("mimosaward_gateway_store_calls", "Calls made to the store since the start.", func() float64 {
		total := int64(0)
		for _, count := range g.store.Calls() {
			total += count
		}
		return float64(total)
	})
	gauge("mimosaward_gateway_connections_opened", "Connections opened to endpoints since the start.", func() float64 { return float64(g.pool.Opened()) })
	for _, reason := range []connpool.Reason{connpool.ReasonNoIdle, connpool.ReasonClosed, connpool.ReasonExpired, connpool.ReasonAborted, connpool.ReasonRequired} {
		registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "mimosaward_gateway_connections_opened_total", Help: "Connections opened to endpoints, by the reason for which none was reused.",
			ConstLabels: prometheus.Labels{"reason": string(reason)},
		}, func() float64 { return float64(g.pool.OpenedByReason()[reason]) }))
	}
	gauge("mimosaward_gateway_body_bytes", "Memory that response bodies and events of endpoints use, beyond 16 KiB each.", func() float64 { return float64(g.memory.UsedBy(membudget.Endpoint)) })
	gauge("mimosaward_gateway_request_body_bytes", "Memory that bodies of requests use, beyond 16 KiB each.", func() float64 { return float64(g.memory.UsedBy(membudget.RequestBody)) })
	gauge("mimosaward_gateway_connection_bytes", "Memory that connections of callers use.", func() float64 { return float64(g.memory.UsedBy(membudget.Connection)) })
	gauge("mimosaward_gateway_message_bytes", "Memory that calls from other processes use.", func() float64 { return float64(g.memory.UsedBy(membudget.Message)) })
	gauge("mimosaward_gateway_caller_connections", "Open connections of callers at the client address.", func() float64 { return float64(g.limiters.clients.Len()) })
	gauge("mimosaward_gateway_rejected_parts", "Prompt parts and requests that are refused.", func() float64 { return float64(g.quarantine.Size()) })
	gauge("mimosaward_gateway_engines_owned", "Engines that this gateway owns, and whose loaders it polls.", func() float64 { return float64(len(g.ownedEngines())) })
	gauge("mimosaward_gateway_retry_credit", "Retries that are allowed now.", g.retries.Credit)
	registry.MustRegister(&metrics.StoreCallCollector{Name: "mimosaward_gateway_store_calls_total", Calls: g.store.Calls})
	registry.MustRegister(&endpointCollector{dispatcher: g.dispatcher}, &informerCollector{observer: g.observer})
}
