package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
)

const (
	// minDrainTime is how long a stopping gateway runs at least, so that the callers that
	// still use its address are answered.
	minDrainTime = 4 * time.Second
	// drainPollInterval is how often the requests in flight are counted.
	drainPollInterval = 50 * time.Millisecond
	// maxCutRecords is the maximum number of requests that are logged one by one when they
	// are cut off.
	maxCutRecords = 64
	// reasonStopping is the reason for refusals by a stopping gateway, and
	// stoppingRetryAfter their retry delay: another gateway can serve the request at once.
	reasonStopping     = dispatch.Reason("stopping")
	stoppingRetryAfter = 50 * time.Millisecond
)

// errStopping is the cause of the cancellation of the requests that a stop cuts off.
var errStopping = errors.New("the gateway is stopping")

// drain is the state of a planned stop. The zero value is a gateway that does not stop.
// It is safe for concurrent use.
type drain struct {
	mu       sync.Mutex
	schedule *drainSchedule
}

// start begins the stop.
func (d *drain) start(schedule drainSchedule) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.schedule = &schedule
}

// limit returns the schedule of the stop, which has begun, for the grace period in the settings.
// A shorter one than before shortens the stop; a longer one has no effect, because the platform
// may still apply the one from before.
func (d *drain) limit(gracePeriod time.Duration) drainSchedule {
	d.mu.Lock()
	defer d.mu.Unlock()
	if next := newDrainSchedule(d.schedule.startedAt, gracePeriod); next.cutAt.Before(d.schedule.cutAt) {
		d.schedule = &next
	}
	return *d.schedule
}

func (d *drain) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.schedule != nil
}

// accepts reports whether a request may be accepted.
func (d *drain) accepts(deadline, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.schedule == nil || d.schedule.accepts(deadline, now)
}

// drainRequests withdraws the gateway from the directory and serves until no request is in
// flight, for at least minDrainTime. Then it closes the callers' address and waits until
// every response is written. It cancels the requests that are still in flight when the
// schedule says so, and then waits until they are answered, however late it is: the process
// may have been suspended.
func (g *Gateway) drainRequests(callers *fasthttp.Server) {
	select {
	case updated := <-g.Reload:
		g.bounds.Store(&updated.Bounds)
	default:
	}
	schedule := newDrainSchedule(time.Now(), g.bounds.Load().GracePeriod)
	g.drain.start(schedule)
	g.Log.Emit(event.DrainStarted, event.Fields{"inFlight": g.requests.count(), "cutAfterMs": schedule.cutAt.Sub(schedule.startedAt).Milliseconds()})
	shutdown, cancel := context.WithCancel(context.Background())
	defer cancel()
	g.tasks.Go(func(context.Context) { g.cutAtEnd(shutdown, cancel) })
	for time.Now().Before(g.drain.limit(g.bounds.Load().GracePeriod).cutAt) {
		if time.Since(schedule.startedAt) > minDrainTime && g.requests.count() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	err := callers.ShutdownWithContext(shutdown)
	g.Log.Emit(event.DrainEnded, event.Fields{
		"inFlight": g.requests.count(), "busyConnections": g.connections.active(), "tookMs": time.Since(schedule.startedAt).Milliseconds(), "error": errorText(err),
	})
}

// cutAtEnd cancels the requests in flight when the schedule says so, and calls exit when they
// have had time to be answered. It returns early if ctx is done.
func (g *Gateway) cutAtEnd(ctx context.Context, exit context.CancelFunc) {
	schedule := g.drain.limit(g.bounds.Load().GracePeriod)
	for time.Now().Before(schedule.cutAt) {
		if !concurrency.Sleep(ctx, min(drainPollInterval, time.Until(schedule.cutAt))) {
			return
		}
		schedule = g.drain.limit(g.bounds.Load().GracePeriod)
	}
	g.cutRequests(schedule.startedAt)
	concurrency.Sleep(ctx, schedule.answerTime())
	exit()
}

// cutRequests cancels the requests in flight, so that those without a response are answered
// before the process exits.
func (g *Gateway) cutRequests(start time.Time) {
	for index, r := range g.requests.all() {
		if index < maxCutRecords {
			r.logCut(time.Since(start))
		}
		r.cancel(errStopping)
	}
}
