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
	// drainMargin is how long before the end of the grace period the gateway cancels the
	// requests in flight. answerTime is how long it then waits until they are answered.
	drainMargin = time.Second
	answerTime  = 300 * time.Millisecond
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

// start begins the stop. The requests in flight are canceled at exitAt.
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
// must have its final response before exitAt.
func (d *drain) accepts(deadline, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startedAt.IsZero() || now.Sub(d.startedAt) < acceptWindow || deadline.Before(d.exitAt)
}

// drainRequests withdraws the gateway from the directory and serves until no request is in
// flight, for at least minDrainTime. Then it closes the callers' address and waits until
// every response is written. drainMargin before the end of the grace period, it cancels
// the requests that are still in flight.
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
	cut := time.AfterFunc(time.Until(exitAt), func() { g.cutRequests(start) })
	defer cut.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), exitAt.Add(answerTime))
	defer cancel()
	err := callers.ShutdownWithContext(ctx)
	g.Log.Emit(event.DrainEnded, event.Fields{
		"inFlight": g.requests.count(), "busyConnections": g.connections.active(), "tookMs": time.Since(start).Milliseconds(), "error": errorText(err),
	})
}

// cutRequests cancels the requests in flight, so that those without a response are answered
// before the process exits.
func (g *Gateway) cutRequests(start time.Time) {
	for index, r := range g.requests.all() {
		if index < maxCutRecords {
			r.logCut(time.Since(start))
		}
		r.cancel()
	}
}
