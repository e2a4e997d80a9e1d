package gateway

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// Phases of a request at an engine.
const (
	phaseUnanswered = "unanswered"
	phaseFirstEvent = "beforeFirstEvent"
	phaseEarly      = "early"
)

// earlyPhase is the time after the first event in which the request may be the cause of the
// end of its engine. A prompt that crashes engines does so within a few tokens.
const earlyPhase = 250 * time.Millisecond

// probeDelay is the delay before the attempt to connect to an engine whose connection broke.
// An engine that ended refuses by then, and for some time.
const probeDelay = 50 * time.Millisecond

// engineStart identifies a start of an engine.
type engineStart struct {
	endpoint    string
	incarnation int64
}

// crashDetector confirms that engines ended whose connections broke. Set the exported fields
// before the first call. It is safe for concurrent use.
type crashDetector struct {
	Dial func(ctx context.Context, address string) error
	// Leaving reports whether the endpoint was about to stop.
	Leaving func(endpoint clusterstate.Endpoint) bool
	// OnCrash is called with each engine that ended.
	OnCrash func(crash quarantine.Crash)

	mu sync.Mutex
	// suspected holds the parts of the requests under which a connection to an engine broke,
	// while its end is not confirmed yet.
	suspected map[engineStart][]string
}

// observe records a connection that broke under a request with the parts.
func (d *crashDetector) observe(group *concurrency.Group, endpoint clusterstate.Endpoint, parts []string) {
	if d.Leaving(endpoint) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	start := engineStart{endpoint: endpoint.ID, incarnation: endpoint.Incarnation}
	known, pending := d.suspected[start]
	if d.suspected == nil {
		d.suspected = map[engineStart][]string{}
	}
	for _, part := range parts {
		if !slices.Contains(known, part) {
			known = append(known, part)
		}
	}
	d.suspected[start] = known
	if !pending {
		at := time.Now()
		group.Go(func(ctx context.Context) { d.confirm(ctx, endpoint, at) })
	}
}

// confirm reports the crash of an endpoint at a time if the endpoint refuses connections.
func (d *crashDetector) confirm(ctx context.Context, endpoint clusterstate.Endpoint, at time.Time) {
	ended := concurrency.Sleep(ctx, probeDelay) && d.refuses(ctx, endpoint.Address)
	d.mu.Lock()
	start := engineStart{endpoint: endpoint.ID, incarnation: endpoint.Incarnation}
	parts := d.suspected[start]
	delete(d.suspected, start)
	d.mu.Unlock()
	if ended {
		d.OnCrash(quarantine.Crash{Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Age: time.Since(at), Parts: parts})
	}
}

// refuses reports whether an address refuses connections. One that does not respond may be
// cut off.
func (d *crashDetector) refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return errors.Is(d.Dial(ctx, address), syscall.ECONNREFUSED)
}

// dialEndpoint connects to an endpoint and closes the connection.
func (g *Gateway) dialEndpoint(ctx context.Context, address string) error {
	conn, err := g.Dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// leaving reports whether an endpoint is draining or has left.
func (g *Gateway) leaving(endpoint clusterstate.Endpoint) bool {
	endpoints := g.observer.ClusterState().ServiceEndpoints(endpoint.Service)
	index := slices.IndexFunc(endpoints, func(current clusterstate.Endpoint) bool { return current.ID == endpoint.ID })
	return index < 0 || endpoints[index].Draining
}

// recordCrash records the end of an engine.
func (g *Gateway) recordCrash(crash quarantine.Crash) {
	g.metrics.confirmedCrashes.Inc()
	g.Log.Emit(event.CrashConfirmed, event.Fields{"endpoint": crash.Endpoint, "incarnation": crash.Incarnation, "parts": crash.Parts, "ageMs": crash.Age.Milliseconds()})
	g.quarantine.RecordCrash(crash, time.Now())
}

// suspectCrash examines a connection that broke under the request, unless this gateway or
// the caller ended it.
func (r *request) suspectCrash(endpoint clusterstate.Endpoint, phase string, err error) {
	var timeout interface{ Timeout() bool }
	parts := r.clientRequest.Inference.SharedParts
	switch {
	case len(parts) == 0, err == nil, r.ctx.Err() != nil, !time.Now().Before(r.deadline):
		return
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, connpool.ErrResponseMismatch):
		return
	}
	g := r.gateway
	g.metrics.suspectedCrashes.Inc()
	g.Log.Emit(event.CrashSuspected, event.Fields{
		"request": r.clientRequest.ID, "endpoint": endpoint.ID, "incarnation": endpoint.Incarnation, "phase": phase, "parts": parts, "fingerprint": r.fingerprint, "error": err.Error(),
	})
	g.crashDetector.observe(g.tasks, endpoint, parts)
}

// recordAnswered records that an engine survived the request.
func (r *request) recordAnswered() {
	if parts := r.clientRequest.Inference.SharedParts; len(parts) > 0 {
		r.gateway.quarantine.RecordAnswered(parts, time.Now())
	}
}
