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
	phaseLate       = "late"
)

// earlyPhase is the time after the first event in which the prompt parts of a request may be the
// cause of the end of its engine: a part that crashes engines does so within a few tokens. The
// request itself may be the cause until its response is complete.
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
	// checks holds the checks that have not finished yet.
	checks map[engineStart]*crashCheck
}

// crashCheck finds out whether an engine ended whose connection broke.
type crashCheck struct {
	// parts are those of the requests under which a connection broke. The detector's mutex
	// guards them.
	parts []string
	// done is closed when ended is known.
	done  chan struct{}
	ended bool
}

// observe records a connection that broke under a request with the parts. It returns the check
// of the engine.
func (d *crashDetector) observe(group *concurrency.Group, endpoint clusterstate.Endpoint, parts []string) *crashCheck {
	if d.Leaving(endpoint) {
		check := &crashCheck{done: make(chan struct{})}
		close(check.done)
		return check
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	start := engineStart{endpoint: endpoint.ID, incarnation: endpoint.Incarnation}
	check := d.checks[start]
	if check == nil {
		if d.checks == nil {
			d.checks = map[engineStart]*crashCheck{}
		}
		check = &crashCheck{done: make(chan struct{})}
		d.checks[start] = check
		at := time.Now()
		group.Go(func(ctx context.Context) { d.confirm(ctx, endpoint, at, check) })
	}
	for _, part := range parts {
		if !slices.Contains(check.parts, part) {
			check.parts = append(check.parts, part)
		}
	}
	return check
}

// confirm reports the crash of an endpoint at a time if the endpoint refuses connections.
func (d *crashDetector) confirm(ctx context.Context, endpoint clusterstate.Endpoint, at time.Time, check *crashCheck) {
	defer close(check.done)
	check.ended = concurrency.Sleep(ctx, probeDelay) && d.refuses(ctx, endpoint.Address)
	d.mu.Lock()
	delete(d.checks, engineStart{endpoint: endpoint.ID, incarnation: endpoint.Incarnation})
	parts := check.parts
	d.mu.Unlock()
	if check.ended {
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
	switch {
	case err == nil, r.ctx.Err() != nil, !time.Now().Before(r.deadline):
		return
	case errors.As(err, &timeout) && timeout.Timeout(), errors.IsAny(err, connpool.ErrResponseMismatch, errWithdrawn):
		return
	}
	parts := r.suspects()
	if phase == phaseLate {
		parts = []string{r.fingerprint}
	}
	g := r.gateway
	g.metrics.suspectedCrashes.Inc()
	g.Log.Emit(event.CrashSuspected, event.Fields{
		"request": r.clientRequest.ID, "endpoint": endpoint.ID, "incarnation": endpoint.Incarnation, "phase": phase, "parts": parts, "error": err.Error(),
	})
	r.crashChecks = append(r.crashChecks, g.crashDetector.observe(g.tasks, endpoint, parts))
}

// recordPartsAnswered records that an engine survived the prompt parts of the request.
func (r *request) recordPartsAnswered() {
	if parts := r.clientRequest.Inference.SharedParts; len(parts) > 0 {
		r.gateway.quarantine.RecordAnswered(parts, time.Now())
	}
}

// recordAnswered records that an endpoint survived the request.
func (r *request) recordAnswered() {
	r.gateway.quarantine.RecordAnswered([]string{r.fingerprint}, time.Now())
}

// maxCrashesPerRequest is the number of endpoints that may end under one request before this
// gateway sends it to no other one.
const maxCrashesPerRequest = 2

// crashedTooMany reports whether so many endpoints ended under the request. It waits for the
// checks of the endpoints whose connections broke if there are enough of them.
func (r *request) crashedTooMany() bool {
	if len(r.crashChecks) < maxCrashesPerRequest {
		return false
	}
	ended := 0
	for _, check := range r.crashChecks {
		select {
		case <-check.done:
		case <-r.ctx.Done():
			return true
		}
		if check.ended {
			ended++
		}
	}
	return ended >= maxCrashesPerRequest
}
