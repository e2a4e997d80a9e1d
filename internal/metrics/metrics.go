// Package metrics defines the metrics of a process. Label values come from
// bounded sets, so that callers cannot make the memory of a process grow.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// OtherWorkspace is the label value for workspaces that no ticket names.
const OtherWorkspace = "other"

// Meter holds the metrics of a process. It is safe for concurrent use.
type Meter struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	firstByte       *prometheus.HistogramVec
	duration        *prometheus.HistogramVec
	chunksReceived  *prometheus.CounterVec
	chunkMemory     prometheus.Gauge
	rolloutDuration prometheus.Histogram
}

// New returns a meter with every metric registered.
func New() *Meter {
	m := &Meter{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_requests_total", Help: "Requests by workspace, class and outcome.",
		}, []string{"workspace", "class", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mimosaward_first_byte_seconds", Help: "Time to the first byte of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}, []string{"workspace", "class"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "mimosaward_request_seconds", Help: "Time to the end of an answer.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 14),
		}, []string{"workspace", "class"}),
		chunksReceived: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_chunks_total", Help: "Chunks received by kind of source.",
		}, []string{"source"}),
		chunkMemory: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "mimosaward_chunk_memory_bytes", Help: "Memory that chunks use.",
		}),
		rolloutDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mimosaward_rollout_seconds", Help: "Time from a ticket to serving its weight set.",
			Buckets: prometheus.ExponentialBuckets(0.5, 2, 12),
		}),
	}
	m.registry.MustRegister(m.requests, m.firstByte, m.duration, m.chunksReceived, m.chunkMemory, m.rolloutDuration,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Class is the class of a request, used as a label value.
type Class string

// The values of Class.
const (
	ChatCompletion    Class = "draft"
	IdempotentCall    Class = "idempotentCall"
	NonIdempotentCall Class = "nonIdempotentCall"
)

// ObserveRequest counts an ended request and records its duration.
func (m *Meter) ObserveRequest(workspace string, class Class, outcome string, elapsed time.Duration) {
	m.requests.WithLabelValues(workspace, string(class), outcome).Inc()
	m.duration.WithLabelValues(workspace, string(class)).Observe(elapsed.Seconds())
}

// ObserveFirstByte records the time to the first byte of a response.
func (m *Meter) ObserveFirstByte(workspace string, class Class, elapsed time.Duration) {
	m.firstByte.WithLabelValues(workspace, string(class)).Observe(elapsed.Seconds())
}

// SetChunkMemory sets the number of bytes of memory that chunks use.
func (m *Meter) SetChunkMemory(bytes int64) { m.chunkMemory.Set(float64(bytes)) }

// IncChunksReceived counts a chunk received from the given kind of source.
func (m *Meter) IncChunksReceived(source string) { m.chunksReceived.WithLabelValues(source).Inc() }

// ObserveRollout records the time from a ticket to serving its weight set.
func (m *Meter) ObserveRollout(elapsed time.Duration) { m.rolloutDuration.Observe(elapsed.Seconds()) }
