package loader

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/metrics"
)

// loaderMetrics holds the loader's counters and histograms.
type loaderMetrics struct {
	chunks *prometheus.CounterVec
	loads  *prometheus.CounterVec
	// replacedManifests counts the manifests that were replaced during their fetch.
	replacedManifests prometheus.Counter
	fetchTime         prometheus.Histogram
	loadTime          prometheus.Histogram
	limits            *prometheus.CounterVec
	evictions         *prometheus.CounterVec
}

// Values of the label "source": where a chunk came from.
const (
	sourceInstance = "instance"
	sourceOrigin   = "origin"
	sourceEngine   = "engine"
)

func newLoaderMetrics(registry prometheus.Registerer) *loaderMetrics {
	m := &loaderMetrics{
		chunks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_loader_chunks_total", Help: "Chunks received, by kind of source.",
		}, []string{"source"}),
		loads: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_loader_orders_total", Help: "Orders to load, by result.",
		}, []string{"result"}),
		replacedManifests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mimosaward_loader_manifests_replaced_total", Help: "Manifests that were replaced by a different one while their chunks were fetched.",
		}),
		fetchTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mimosaward_loader_fetch_seconds", Help: "Time to fetch a set of weights.",
			Buckets: prometheus.ExponentialBuckets(0.1, 1.6, 12),
		}),
		loadTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "mimosaward_loader_load_seconds", Help: "Time from an order to the engine serving the weights.",
			Buckets: prometheus.ExponentialBuckets(0.1, 1.6, 12),
		}),
		limits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_loader_client_limits_total", Help: "Connections of clients that reached a limit, by address and limit.",
		}, []string{"address", "limit"}),
		evictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_loader_memory_evictions_total", Help: "Messages that were given up because memory was used up, by class.",
		}, []string{"class"}),
	}
	registry.MustRegister(m.chunks, m.loads, m.replacedManifests, m.fetchTime, m.loadTime, m.limits, m.evictions)
	return m
}

// registerGauges registers the gauges that are computed on each scrape.
func (l *Loader) registerGauges(registry prometheus.Registerer) {
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("mimosaward_loader_served_version", "Version that the engine serves, 0 if none.", func() float64 {
		plan, _ := l.plans.current()
		status := l.status.current().Status
		return float64(status.Version(plan.Model.Model))
	})
	gauge("mimosaward_loader_wanted_version", "Version that the operators want, 0 if they named none.", func() float64 {
		plan, _ := l.plans.current()
		return float64(plan.Wanted.Version)
	})
	registry.MustRegister(&metrics.StoreCallCollector{Name: "mimosaward_loader_store_calls_total", Calls: l.objects.Calls})
	gauge("mimosaward_loader_chunk_bytes", "Memory that chunks use.", func() float64 { return float64(l.store.Used()) })
	gauge("mimosaward_loader_ready_in_seconds", "Estimated time until the engine serves weights, 0 if it does or the time is not known.", func() float64 {
		return l.status.current().Status.ReadyIn.Seconds()
	})
	gauge("mimosaward_loader_engine_answering", "1 while the engine answers.", func() float64 {
		if l.status.current().Answering {
			return 1
		}
		return 0
	})
}
