package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
)

const (
	// acceptWindow is how long a stopping gateway still accepts every request: callers
	// use a directory response for up to three times its TTL.
	acceptWindow = 3 * time.Second
	// minDrainTime is how long a stopping gateway runs at least, so that the callers that
	// still use its address are answered.
	minDrainTime = 4 * time.Second
	// drainMargin is how long before the end of the grace period the gateway exits.
	drainMargin = time.Second
	// drainPollInterval is how often the requests in flight are counted.
	drainPollInterval = 50 * time.Millisecond
	// maxCutRecords is the maximum number of requests that are logged one by one when the
	// process exits.
	maxCutRecords = 64
	// reasonStopping is the reason for refusals by a stopping gateway, and
	// stoppingRetryAfter their retry delay: another gateway can serve the request at once.
	reasonStopping     = dispatch.Reason("stopping")
	stoppingRetryAfter = 50 * time.Millisecond
)

// drain is the state of a planned stop. The zero value is a gateway that does not stop.
// It is safe for concurrent use.
type drain struct {
	mu        sync.Mutex
	startedAt time.Time
	exitAt    time.Time
}

// start begins the stop, which ends at exitAt at the latest.
func (d *drain) start(now, exitAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.startedAt, d.exitAt = now, exitAt
}

func (d *drain) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.startedAt.IsZero()
}

// accepts reports whether a request may be accepted: one that arrives after acceptWindow
// must have its final response before the gateway exits.
func (d *drain) accepts(deadline, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startedAt.IsZero() || now.Sub(d.startedAt) < acceptWindow || deadline.Before(d.exitAt)
}

// drainRequests withdraws the gateway from the directory and serves until no request is in
// flight, for at least minDrainTime. Then it closes the callers' address and waits until
// every response is written. It returns drainMargin before the end of the grace period at
// the latest.
func (g *Gateway) drainRequests(callers *fasthttp.Server) {
	start := time.Now()
	exitAt := start.Add(g.bounds.Load().GracePeriod - drainMargin)
	g.drain.start(start, exitAt)
	g.Log.Emit(event.DrainStarted, event.Fields{"inFlight": g.requests.count()})
	for time.Now().Before(exitAt) {
		if time.Since(start) > minDrainTime && g.requests.count() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), exitAt)
	defer cancel()
	g.logDrainEnded(start, callers.ShutdownWithContext(ctx))
}

// logDrainEnded logs the end of the drain and the requests that the exit cuts off. err is
// the error of the server's shutdown.
func (g *Gateway) logDrainEnded(start time.Time, err error) {
	inFlight := g.requests.all()
	g.Log.Emit(event.DrainEnded, event.Fields{
		"inFlight": len(inFlight), "busyConnections": g.connections.active(), "tookMs": time.Since(start).Milliseconds(), "error": errorText(err),
	})
	for _, r := range inFlight[:min(len(inFlight), maxCutRecords)] {
		r.logCut(time.Since(start))
	}
}
