package lifecycle

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// hungCalls is the number of calls that wait at the same time. Most of them, but not always all,
// are passed on.
const hungCalls = 32

// hungCall is a call whose endpoint never responds and whose time ends after the grace period.
func hungCall(id string) *call {
	return &call{id: id, path: "/book/seat", key: stableKey, pieces: 1, body: []byte("body of " + id), budget: 2 * gracePeriod}
}

// newHungSite returns a site with one gateway, which is ready, and with endpoints that never
// respond.
func newHungSite(t *testing.T) *site {
	t.Helper()
	s := newSiteOf(t, 1, 1)
	s.start()
	for _, endpoint := range s.endpoints {
		endpoint.SetFaults(platformtest.EndpointFaults{Hang: true})
	}
	s.configure(func(state *platformtest.DesiredState) {
		for index := range state.Routes {
			state.Routes[index].Timeout = int((2 * gracePeriod).Milliseconds())
		}
	})
	time.Sleep(configurationTime)
	return s
}

// configurationTime is the time in which a gateway applies a desired state.
const configurationTime = 2 * time.Second

// callHung sends calls that get no response from their endpoints, all at once, until each has
// got one. Calls that ran must get a complete response that promises nothing, at least one of
// them, and the others a refusal.
func callHung(t *testing.T, s *site, d *daemon) {
	t.Helper()
	calls := make([]*attempt, hungCalls)
	callers := concurrency.NewGroup(context.Background())
	for index := range calls {
		conn, _, err := connect(context.Background(), d)
		if err != nil {
			t.Fatal(err)
		}
		callers.Go(func(context.Context) {
			defer conn.close()
			calls[index] = conn.do(hungCall(fmt.Sprint("hung-", index)))
		})
	}
	callers.Wait()
	failed := 0
	for _, a := range calls {
		want := http.StatusServiceUnavailable
		if len(s.executions()[a.call.id]) > 0 {
			want = http.StatusBadGateway
			failed++
		}
		if a.status != want || !a.complete {
			t.Errorf("%s; want a complete response with status %d", a, want)
		}
	}
	if failed == 0 {
		t.Error("no call was passed on")
	}
}

// Guards against a stopping process that resumes shortly before the end of its grace period and
// exits at once, without an answer to the requests that it has passed on.
func TestSuspendedStopAnswersRequests(t *testing.T) {
	s := newHungSite(t)
	defer s.close()
	d := s.gateways[0]
	p := d.process()
	p.terminate()
	callers := concurrency.NewGroup(context.Background())
	callers.Go(func(context.Context) { callHung(t, s, d) })
	time.Sleep(gracePeriod - 2400*time.Millisecond)
	if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Error(err)
	}
	time.Sleep(2 * time.Second)
	if err := p.command.Process.Signal(syscall.SIGCONT); err != nil {
		t.Error(err)
	}
	callers.Wait()
	d.awaitExit(p)
}
