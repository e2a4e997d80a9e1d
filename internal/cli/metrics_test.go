package cli

import (
	"bufio"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Guards against metrics of the program that are missing in a response of which only the first
// kilobytes were kept.
func TestOwnMetricsPrecedeThoseOfRuntime(t *testing.T) {
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "mimosaward_test_total", Help: "A metric."}))
	recorder := httptest.NewRecorder()
	promhttp.HandlerFor(gatherMetrics(registry), promhttp.HandlerOpts{}).ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	var names []string
	for lines := bufio.NewScanner(recorder.Body); lines.Scan() && len(names) < 2; {
		if name, found := strings.CutPrefix(lines.Text(), "# HELP "); found {
			names = append(names, strings.Fields(name)[0])
		}
	}
	if len(names) == 2 {
		names[1], _, _ = strings.Cut(names[1], "_")
	}
	if diff := cmp.Diff([]string{"mimosaward_test_total", "go"}, names); diff != "" {
		t.Errorf("first metrics (-want +got):\n%s", diff)
	}
}
