package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/storewatch"
)

// maxEndpointLabels bounds the endpoints that have metrics of their own.
const maxEndpointLabels = 256

var (
	endpointRunning = prometheus.NewDesc("mimosaward_endpoint_running", "Requests of all gateways at the endpoint, as this gateway knows them.", []string{"endpoint"}, nil)
	endpointUnread  = prometheus.NewDesc("mimosaward_endpoint_unread_tokens", "Prompt tokens at the endpoint that were not answered yet.", []string{"endpoint"}, nil)
	endpointFailing = prometheus.NewDesc("mimosaward_endpoint_failure_share", "Recent share of requests that the endpoint failed.", []string{"endpoint"}, nil)
	endpointAge     = prometheus.NewDesc("mimosaward_endpoint_status_age_seconds", "Age of what the engine's loader said.", []string{"endpoint"}, nil)
	serviceWaiting  = prometheus.NewDesc("mimosaward_service_waiting", "Requests that wait for an endpoint.", []string{"service"}, nil)
	serviceDemand   = prometheus.NewDesc("mimosaward_service_demand", "Requests a second for a service.", []string{"service"}, nil)
	copyRevision    = prometheus.NewDesc("mimosaward_copy_revision", "Revision of the copy of a kind of the store's objects.", []string{"kind"}, nil)
	copyLost        = prometheus.NewDesc("mimosaward_copy_lost_seconds", "Time since the store stopped to answer for a kind, 0 while it answers.", []string{"kind"}, nil)
)

// endpointCollector shows what the dispatcher knows about the endpoints.
type endpointCollector struct {
	dispatcher *dispatch.Dispatcher
}

// Describe implements prometheus.Collector.
func (c *endpointCollector) Describe(out chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{endpointRunning, endpointUnread, endpointFailing, endpointAge, serviceWaiting, serviceDemand} {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (c *endpointCollector) Collect(out chan<- prometheus.Metric) {
	for index, known := range c.dispatcher.EndpointStats() {
		if index == maxEndpointLabels {
			break
		}
		out <- prometheus.MustNewConstMetric(endpointRunning, prometheus.GaugeValue, float64(known.Running), known.ID)
		out <- prometheus.MustNewConstMetric(endpointUnread, prometheus.GaugeValue, float64(known.PendingPrefill), known.ID)
		out <- prometheus.MustNewConstMetric(endpointFailing, prometheus.GaugeValue, known.FailureRate, known.ID)
		out <- prometheus.MustNewConstMetric(endpointAge, prometheus.GaugeValue, known.StatusAge.Seconds(), known.ID)
	}
	_, demands := c.dispatcher.LocalLoad()
	for _, demand := range demands {
		out <- prometheus.MustNewConstMetric(serviceWaiting, prometheus.GaugeValue, float64(demand.Waiting), demand.Service)
		out <- prometheus.MustNewConstMetric(serviceDemand, prometheus.GaugeValue, demand.Rate, demand.Service)
	}
}

// copyCollector shows how new the copies of the store's objects are.
type copyCollector struct {
	observer *storewatch.Observer
}

// Describe implements prometheus.Collector.
func (c *copyCollector) Describe(out chan<- *prometheus.Desc) {
	out <- copyRevision
	out <- copyLost
}

// Collect implements prometheus.Collector.
func (c *copyCollector) Collect(out chan<- prometheus.Metric) {
	for _, held := range c.observer.Informers() {
		out <- prometheus.MustNewConstMetric(copyRevision, prometheus.GaugeValue, float64(held.Revision()), held.Kind)
		lost, _ := held.Availability()
		seconds := 0.0
		if !lost.IsZero() {
			seconds = time.Since(lost).Seconds()
		}
		out <- prometheus.MustNewConstMetric(copyLost, prometheus.GaugeValue, seconds, held.Kind)
	}
}
