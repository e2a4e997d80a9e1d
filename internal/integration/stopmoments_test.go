package integration

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/gateway"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// stopInterval returns the time between the requests that are sent during a stop.
func stopInterval(grace time.Duration) time.Duration {
	return max(100*time.Millisecond, grace/100)
}

// maxRefusalTime is how long a stopping gateway may take to refuse a request.
const maxRefusalTime = 50 * time.Millisecond

// stopCase is a stop of a gateway while its callers send requests of every kind.
type stopCase struct {
	name string
	// grace is the grace period that the platform applies.
	grace time.Duration
	// settingsGrace is the grace period of the settings until reloadAt, if it is another one.
	settingsGrace time.Duration
	reloadAt      time.Duration
	// processing is how long endpoints process a plain request.
	processing time.Duration
	// faults are those of all endpoints from faultsAt on, until faultsUntil if that is set.
	faults      platformtest.EndpointFaults
	faultsAt    time.Duration
	faultsUntil time.Duration
	// silentAt is when all endpoints fall silent for a second, 0 if they do not.
	silentAt time.Duration
}

// stopCases returns the stops of one grace period.
func stopCases(grace time.Duration) []stopCase {
	return []stopCase{
		{name: "quick endpoints"},
		{name: "endpoints that take a fifth of the grace period", processing: grace / 5},
		{name: "endpoints that never respond", faults: platformtest.EndpointFaults{Hang: true}},
		{name: "endpoints that never respond late in the stop", faults: platformtest.EndpointFaults{Hang: true}, faultsAt: grace / 2},
		{name: "endpoints that close without a response", faults: platformtest.EndpointFaults{DropResponses: true}, faultsAt: grace / 3},
		{name: "endpoints that refuse", faults: platformtest.EndpointFaults{Overloaded: true}, faultsAt: grace / 4, faultsUntil: grace / 2},
		{name: "endpoints that fall silent for a second", silentAt: grace / 2},
	}
}

// stopTimeouts are the time limits of callers; 0 means that the caller names none.
var stopTimeouts = []time.Duration{0, 300 * time.Millisecond, 1200 * time.Millisecond, 5 * time.Second}

// keptConn is a connection that stays open after a response.
type keptConn struct{ net.Conn }

// Close implements net.Conn.
func (keptConn) Close() error { return nil }

// dialOnce returns a dial function that returns the connection.
func dialOnce(conn net.Conn) func(string) (net.Conn, error) {
	return func(string) (net.Conn, error) { return conn, nil }
}

// openKept opens a connection and completes a request on it, so that it is idle.
func (i *installation) openKept() net.Conn {
	i.t.Helper()
	conn, err := i.network.ForProcess("caller").Dial(gatewayAddress(0))
	if err != nil {
		i.t.Fatal(err)
	}
	if response, err := platformtest.Do(dialOnce(keptConn{conn}), i.call(0, "/status/1")); err != nil || response.Status != fasthttp.StatusOK {
		i.t.Fatalf("response %+v, error %v before the stop", response, err)
	}
	return conn
}

// stopCalls returns the calls of one moment, one of each kind.
func (i *installation) stopCalls(processing time.Duration) []platformtest.Request {
	calls := []platformtest.Request{i.call(0, "/status/1"), i.call(0, "/book/1"), i.chatCall(0), i.chatCall(0)}
	calls[3].Path = "/resumed/new"
	for index := range calls {
		calls[index].Timeout = stopTimeouts[(i.attempts+index)%len(stopTimeouts)]
		if processing > 0 && calls[index].Model == "" {
			calls[index].Header = map[string]string{platformtest.HeaderProcessingMS: fmt.Sprint(processing.Milliseconds())}
		}
	}
	return calls
}

// callAtEachMoment stops the gateway of zone 0 and sends it calls of every kind until it has
// exited, on new and on kept connections. It calls meanwhile when the stop begins and returns
// the outcomes and the time that the stop took.
func (i *installation) callAtEachMoment(c stopCase, meanwhile func()) (outcomes []stopOutcome, took time.Duration) {
	moments := int(c.grace / stopInterval(c.grace))
	kept := make([]net.Conn, 0, 4*moments)
	for range cap(kept) {
		kept = append(kept, i.openKept())
	}
	var mu sync.Mutex
	callers := concurrency.NewGroup(context.Background())
	start := time.Now()
	callers.Go(func(context.Context) { meanwhile() })
	callers.Go(func(context.Context) {
		i.stopProcess(gatewayName(0))
		took = time.Since(start)
	})
	callers.Go(func(context.Context) { i.applyFaults(c) })
	send := func(conn net.Conn, call platformtest.Request, sentAt time.Duration) {
		callers.Go(func(context.Context) {
			response, err := platformtest.Do(dialOnce(conn), call)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, stopOutcome{call: call, sentAt: sentAt, response: response, err: err})
		})
	}
	for moment := range moments {
		time.Sleep(time.Until(start.Add(time.Duration(moment) * stopInterval(c.grace))))
		for index, call := range i.stopCalls(c.processing) {
			send(kept[4*moment+index], call, time.Since(start))
		}
		for _, call := range i.stopCalls(c.processing) {
			callers.Go(func(context.Context) {
				if conn, err := i.network.ForProcess("caller").Dial(call.Gateway); err == nil {
					send(conn, call, time.Since(start))
				}
			})
		}
	}
	callers.Wait()
	for _, conn := range kept {
		_ = conn.Close()
	}
	return outcomes, took
}

// applyFaults applies the faults of the case at their times.
func (i *installation) applyFaults(c stopCase) {
	if c.silentAt > 0 {
		names := slices.Collect(maps.Keys(i.endpoints))
		time.Sleep(c.silentAt)
		i.network.Freeze(gatewayName(0), names...)
		time.Sleep(time.Second)
		i.network.Unfreeze(gatewayName(0), names...)
		return
	}
	time.Sleep(c.faultsAt)
	for _, endpoint := range i.endpoints {
		endpoint.SetFaults(c.faults)
	}
	if c.faultsUntil > 0 {
		time.Sleep(c.faultsUntil - c.faultsAt)
		for _, endpoint := range i.endpoints {
			endpoint.SetFaults(platformtest.EndpointFaults{})
		}
	}
}

// budget returns the time after which the rules allow any outcome of a call.
func (o *stopOutcome) budget(i *installation) time.Duration {
	limit := time.Hour
	for _, route := range i.state.Routes {
		if strings.HasPrefix(o.call.Path, route.PathPrefix) {
			limit = time.Duration(route.Timeout) * time.Millisecond
			break
		}
	}
	return min(limit, cmp.Or(o.call.Timeout, limit))
}

// stopViolation returns what is wrong about an outcome, or an empty string.
func (i *installation) stopViolation(c stopCase, o *stopOutcome) string {
	runs, _ := i.runsOfAttempt(o.call.AttemptID)
	idempotent := o.call.Path == "/status/1"
	endedAt := o.sentAt + o.response.Duration
	cutLate := o.sentAt <= 3*time.Second && endedAt >= c.grace-c.grace/6
	expired := o.response.Duration >= o.budget(i)
	switch {
	case len(runs) > 1 && !idempotent:
		return "ran more than once"
	case o.err != nil && o.response.Duration == 0 && len(runs) == 0:
		// The gateway closed the idle connection before the request was written.
		return ""
	case o.err != nil:
		return "no response"
	case o.response.Status == fasthttp.StatusOK:
		if !o.response.Complete && !expired && !cutLate {
			return "response cut off"
		}
		return ""
	case !o.response.Complete:
		return "error without its end"
	case o.response.Status == fasthttp.StatusServiceUnavailable:
		return stopRefusalViolation(o, len(runs))
	case o.response.Status == fasthttp.StatusBadGateway && len(runs) > 0 && (expired || cutLate || c.faults.DropResponses):
		return ""
	}
	return "unexplained status"
}

// stopRefusalViolation returns what is wrong about a refusal of a call with some runs.
func stopRefusalViolation(o *stopOutcome, runs int) string {
	switch {
	case runs > 0:
		return "ran although the response says that it did not"
	case o.response.RetryAfter == 0 || !o.response.ConnectionClose:
		return "refusal without Retry-After or on a connection that stays open"
	case o.response.Body == "stopping\n" && o.response.Duration > maxRefusalTime:
		return "late refusal"
	}
	return ""
}

// A stopping gateway passed requests on that it could not finish, and cut them at its exit
// without a response. The test guards against any request that a stopping gateway reads and
// leaves without a truthful response, at every moment of the stop.
func TestStopAnswersRequestsOfEveryMoment(t *testing.T) {
	for _, grace := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second, 30 * time.Second} {
		for _, c := range stopCases(grace) {
			c.grace = grace
			t.Run(fmt.Sprintf("%s, %s", grace, c.name), func(t *testing.T) {
				withInstallation(t, func(i *installation) { i.checkStop(c) })
			})
		}
	}
}

// Guards against a stop that lasts longer than a grace period that was shortened meanwhile, so
// that the process is killed with requests that it has accepted.
func TestStopKeepsShortenedGracePeriod(t *testing.T) {
	for _, reloadAt := range []time.Duration{0, time.Second, 2500 * time.Millisecond} {
		for _, faults := range []platformtest.EndpointFaults{{}, {Hang: true}} {
			c := stopCase{grace: 8 * time.Second, settingsGrace: 30 * time.Second, reloadAt: reloadAt, faults: faults}
			t.Run(fmt.Sprintf("shortened after %s, endpoints hang: %t", reloadAt, faults.Hang), func(t *testing.T) {
				withInstallation(t, func(i *installation) { i.checkStop(c) })
			})
		}
	}
}

// checkStop restarts the gateway of zone 0 with the grace period of the case and stops it.
func (i *installation) checkStop(c stopCase) {
	i.configure(func(state *platformtest.DesiredState) {
		state.Routes = append(state.Routes, platformtest.Route{
			Name: "resumed", Host: host, PathPrefix: "/resumed/", Kind: platformtest.Streaming, Timeout: 6000, TargetLatency: 500, TargetGap: 400, Service: "drafts",
			MaxAttempts: 2, Resumable: true,
		})
	})
	for index := range 6 {
		i.startBookingService(0, index+1)
	}
	i.stopProcess(gatewayName(0))
	reload := make(chan deployment.Deployment, 1)
	i.startGatewayWith(0, 0, func(g *gateway.Gateway) {
		g.Deployment.Bounds.GracePeriod = cmp.Or(c.settingsGrace, c.grace)
		g.Reload = reload
	})
	time.Sleep(startupTime)
	outcomes, took := i.callAtEachMoment(c, func() {
		if c.settingsGrace > 0 {
			time.Sleep(c.reloadAt)
			next := deployment.Deployment{Bounds: bounds}
			next.Bounds.GracePeriod = c.grace
			reload <- next
		}
	})
	if took >= c.grace {
		i.t.Errorf("the process exits after %s, the grace period is %s", took, c.grace)
	}
	counts := map[string]int{}
	for _, o := range outcomes {
		counts[fmt.Sprintf("%d %s", o.response.Status, o.response.Body[:min(len(o.response.Body), 9)])]++
		if violation := i.stopViolation(c, &o); violation != "" {
			runs, _ := i.runsOfAttempt(o.call.AttemptID)
			i.t.Errorf("%s: %s with timeout %s sent %s after the stop began: response %+v, error %v, %d runs",
				violation, o.call.Path, o.call.Timeout, o.sentAt, o.response, o.err, len(runs))
		}
	}
	i.t.Logf("the process exits after %s, responses %v", took, counts)
}
