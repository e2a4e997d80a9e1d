package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/platform"
)

// StoreCallCollector exports the calls to the object store by purpose and kind.
type StoreCallCollector struct {
	// Name is the name of the metric.
	Name string
	// Calls returns the calls made so far.
	Calls func() map[platform.StoreCall]int64
}

func (c *StoreCallCollector) description() *prometheus.Desc {
	return prometheus.NewDesc(c.Name, "Calls made to the store since the start, by purpose and kind of object.", []string{"purpose", "kind"}, nil)
}

// Describe implements prometheus.Collector.
func (c *StoreCallCollector) Describe(out chan<- *prometheus.Desc) { out <- c.description() }

// Collect implements prometheus.Collector.
func (c *StoreCallCollector) Collect(out chan<- prometheus.Metric) {
	description := c.description()
	for call, count := range c.Calls() {
		out <- prometheus.MustNewConstMetric(description, prometheus.CounterValue, float64(count), string(call.Purpose), call.Kind)
	}
}
