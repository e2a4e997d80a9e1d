package loader

import (
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/event"
)

// Values of the label "purpose": what is requested from the origin.
const (
	purposeManifest = "manifest"
	purposeChunk    = "chunk"
)

// Values of the label "result" of a request to the origin.
const (
	resultAnswered = "answered"
	resultFailed   = "failed"
)

// originLogInterval is the minimum time between two log events about failed requests to the
// origin.
const originLogInterval = time.Second

// originRequests counts the requests to the origin and the connections that they opened, and
// logs them while some fail. It is safe for concurrent use.
type originRequests struct {
	log         *event.Logger
	requests    *prometheus.CounterVec
	connections prometheus.Counter

	mu sync.Mutex
	// answered and failed count the requests by purpose since the last log event, opened the
	// connections.
	answered, failed map[string]int
	opened           int
	loggedAt         time.Time
}

func newOriginRequests(registry prometheus.Registerer, log *event.Logger) *originRequests {
	o := &originRequests{
		log: log,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "mimosaward_loader_origin_requests_total", Help: "Requests to the origin, by purpose and result.",
		}, []string{"purpose", "result"}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "mimosaward_loader_origin_connections_total", Help: "Connections opened to the origin.",
		}),
		answered: map[string]int{}, failed: map[string]int{},
	}
	registry.MustRegister(o.requests, o.connections)
	return o
}

// record counts a request that ended with err.
func (o *originRequests) record(purpose string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.requests.WithLabelValues(purpose, resultAnswered).Inc()
		o.answered[purpose]++
		return
	}
	o.requests.WithLabelValues(purpose, resultFailed).Inc()
	o.failed[purpose]++
	if time.Since(o.loggedAt) < originLogInterval {
		return
	}
	o.loggedAt = time.Now()
	o.log.Emit(event.OriginFailed, event.Fields{
		"purpose": purpose, "error": err.Error(), "manifests": o.answered[purposeManifest], "manifestsFailed": o.failed[purposeManifest],
		"chunks": o.answered[purposeChunk], "chunksFailed": o.failed[purposeChunk], "connections": o.opened,
	})
	clear(o.answered)
	clear(o.failed)
	o.opened = 0
}

// countConnections returns a dial function that counts the connections.
func (o *originRequests) countConnections(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		o.connections.Inc()
		o.mu.Lock()
		o.opened++
		o.mu.Unlock()
		return dial(address)
	}
}
