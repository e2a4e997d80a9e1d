package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/storewatch"
)

// maxEndpointLabels is the maximum number of endpoints with metrics of their own.
const maxEndpointLabels = 256

var (
	endpointRunning        = prometheus.NewDesc("mimosaward_endpoint_running", "Requests of all gateways at the endpoint, as this gateway knows them.", []string{"endpoint"}, nil)
	endpointPendingPrefill = prometheus.NewDesc("mimosaward_endpoint_unread_tokens", "Prompt tokens at the endpoint that were not answered yet.", []string{"endpoint"}, nil)
	endpointFailureRate    = prometheus.NewDesc("mimosaward_endpoint_failure_share", "Recent share of requests that the endpoint failed.", []string{"endpoint"}, nil)
	endpointStatusAge      = prometheus.NewDesc("mimosaward_endpoint_status_age_seconds", "Age of what the engine's loader said.", []string{"endpoint"}, nil)
	endpointRequestLimit   = prometheus.NewDesc("mimosaward_endpoint_request_limit", "Requests a second that the endpoint takes from all gateways together, while it limits them.", []string{"endpoint"}, nil)
	endpointSlowness       = prometheus.NewDesc("mimosaward_endpoint_slowness", "Factor by which work at the endpoint takes longer than usual, by its own reports.", []string{"endpoint"}, nil)
	serviceQueued          = prometheus.NewDesc("mimosaward_service_waiting", "Requests that wait for an endpoint.", []string{"service"}, nil)
	serviceDemand          = prometheus.NewDesc("mimosaward_service_demand", "Requests a second for a service.", []string{"service"}, nil)
	serviceScarce          = prometheus.NewDesc("mimosaward_service_scarce", "1 while requests for the engines of a service lack places, here or at another gateway of the cell.", []string{"service"}, nil)
	serviceWithheld        = prometheus.NewDesc("mimosaward_service_places_withheld_total", "Requests that found only places reserved for more urgent ones.", []string{"service"}, nil)
	serviceLateWaiting     = prometheus.NewDesc("mimosaward_service_late_waiting", "Late requests that wait for an engine behind all others.", []string{"service"}, nil)
	serviceLate            = prometheus.NewDesc("mimosaward_service_late_total", "Late requests for engines that were queued, started and refused.", []string{"service", "result"}, nil)
	informerRevision       = prometheus.NewDesc("mimosaward_copy_revision", "Revision of the copy of a kind of the store's objects.", []string{"kind"}, nil)
	informerAnswerAge      = prometheus.NewDesc("mimosaward_copy_answer_age_seconds", "Time since the store last answered this gateway for a kind, which also grows while a watch waits for a change.", []string{"kind"}, nil)
	informerBehind         = prometheus.NewDesc("mimosaward_copy_behind_seconds", "Time for which another gateway is known to have a newer copy, 0 if none has.", []string{"kind"}, nil)
	informerOutage         = prometheus.NewDesc("mimosaward_copy_lost_seconds", "Time since the store stopped to answer for a kind, 0 while it answers.", []string{"kind"}, nil)
)

// endpointCollector exports the dispatcher's statistics of endpoints and its local
// demand for services.
type endpointCollector struct {
	dispatcher *dispatch.Dispatcher
}

// Describe implements prometheus.Collector.
func (c *endpointCollector) Describe(out chan<- *prometheus.Desc) {
	for _, description := range []*prometheus.Desc{endpointRunning, endpointPendingPrefill, endpointFailureRate, endpointStatusAge, endpointRequestLimit, endpointSlowness, serviceQueued, serviceDemand, serviceScarce, serviceWithheld, serviceLateWaiting, serviceLate} {
		out <- description
	}
}

// Collect implements prometheus.Collector.
func (c *endpointCollector) Collect(out chan<- prometheus.Metric) {
	for index, stats := range c.dispatcher.EndpointStats() {
		if index == maxEndpointLabels {
			break
		}
		out <- prometheus.MustNewConstMetric(endpointRunning, prometheus.GaugeValue, float64(stats.Running), stats.ID)
		out <- prometheus.MustNewConstMetric(endpointPendingPrefill, prometheus.GaugeValue, float64(stats.PendingPrefill), stats.ID)
		out <- prometheus.MustNewConstMetric(endpointFailureRate, prometheus.GaugeValue, stats.FailureRate, stats.ID)
		out <- prometheus.MustNewConstMetric(endpointStatusAge, prometheus.GaugeValue, stats.StatusAge.Seconds(), stats.ID)
		if stats.Announcement.Limited {
			out <- prometheus.MustNewConstMetric(endpointRequestLimit, prometheus.GaugeValue, stats.Announcement.RequestRate, stats.ID)
		}
		if stats.Slowness > 0 {
			out <- prometheus.MustNewConstMetric(endpointSlowness, prometheus.GaugeValue, stats.Slowness, stats.ID)
		}
	}
	for _, demand := range c.dispatcher.Demands() {
		out <- prometheus.MustNewConstMetric(serviceQueued, prometheus.GaugeValue, float64(demand.Waiting), demand.Service)
		out <- prometheus.MustNewConstMetric(serviceDemand, prometheus.GaugeValue, demand.Rate, demand.Service)
	}
	for _, stats := range c.dispatcher.ScarcityStats() {
		scarce := 0.0
		if stats.Scarce {
			scarce = 1
		}
		out <- prometheus.MustNewConstMetric(serviceScarce, prometheus.GaugeValue, scarce, stats.Service)
		out <- prometheus.MustNewConstMetric(serviceWithheld, prometheus.CounterValue, float64(stats.Withheld), stats.Service)
		out <- prometheus.MustNewConstMetric(serviceLateWaiting, prometheus.GaugeValue, float64(stats.LateWaiting), stats.Service)
		for result, count := range map[string]int{"queued": stats.Late.Queued, "started": stats.Late.Started, "refused": stats.Late.Refused} {
			out <- prometheus.MustNewConstMetric(serviceLate, prometheus.CounterValue, float64(count), stats.Service, result)
		}
	}
}

// informerCollector exports the state of the informers, the local copies of the objects in the
// object store.
type informerCollector struct {
	observer *storewatch.Observer
}

// Describe implements prometheus.Collector.
func (c *informerCollector) Describe(out chan<- *prometheus.Desc) {
	out <- informerRevision
	out <- informerAnswerAge
	out <- informerOutage
	out <- informerBehind
}

// Collect implements prometheus.Collector.
func (c *informerCollector) Collect(out chan<- prometheus.Metric) {
	for _, informer := range c.observer.Informers() {
		out <- prometheus.MustNewConstMetric(informerRevision, prometheus.GaugeValue, float64(informer.Revision()), informer.Kind)
		if answeredAt := informer.AnsweredAt(); !answeredAt.IsZero() && !informer.Passive() {
			out <- prometheus.MustNewConstMetric(informerAnswerAge, prometheus.GaugeValue, time.Since(answeredAt).Seconds(), informer.Kind)
		}
		unavailableSince, _ := informer.Availability()
		outageSeconds := 0.0
		if !unavailableSince.IsZero() {
			outageSeconds = time.Since(unavailableSince).Seconds()
		}
		out <- prometheus.MustNewConstMetric(informerOutage, prometheus.GaugeValue, outageSeconds, informer.Kind)
		_, behind := informer.Behind()
		out <- prometheus.MustNewConstMetric(informerBehind, prometheus.GaugeValue, behind.Seconds(), informer.Kind)
	}
}
