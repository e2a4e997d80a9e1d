package integration

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// A non-idempotent request may have run if its response is lost, so it is not retried, and
// the response to the caller does not claim that it did not run.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	for name, faults := range map[string]platformtest.EndpointFaults{
		"response lost": {DropResponses: true},
		"failed":        {Fail: true},
		"hung":          {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.setFaults("booking", faults)
				call := i.call(0, "/book/1")
				response := i.do(call)
				runs, _ := i.runsOfAttempt(call.AttemptID)
				if len(runs) != 1 || response.Status == 503 || response.Status == 429 || response.Status < 500 {
					t.Errorf("%d runs and status %d, want one run and a status for an unknown outcome", len(runs), response.Status)
				}
				if response.Duration > call.Timeout+500*time.Millisecond {
					t.Errorf("response after %s, want at most 500 ms after the deadline of %s", response.Duration, call.Timeout)
				}
				i.setFaults("booking", platformtest.EndpointFaults{})
			})
		})
	}
}

// A non-idempotent request that an endpoint refuses without running it is sent to other
// endpoints. If all refuse it, the caller receives 503, which means that it did not run.
func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.endpoints["booking-0-0"].SetFaults(platformtest.EndpointFaults{Overloaded: true})
		for range 4 {
			call := i.call(0, "/book/1")
			response := i.do(call)
			if runs, _ := i.runsOfAttempt(call.AttemptID); response.Status != 200 || len(runs) != 1 {
				t.Errorf("two endpoints have free slots: status %d, %d runs; want 200 and one run", response.Status, len(runs))
			}
			time.Sleep(time.Second)
		}
		i.setFaults("booking", platformtest.EndpointFaults{Overloaded: true})
		call := i.call(0, "/book/1")
		response := i.do(call)
		if runs, _ := i.runsOfAttempt(call.AttemptID); response.Status != 503 || response.RetryAfter == 0 || len(runs) != 0 {
			t.Errorf("no endpoint has free slots: response %+v, %d runs; want 503 with Retry-After", response, len(runs))
		}
	})
}

// An idempotent request is retried, but not on more endpoints than its route allows.
func TestIdempotentRequestRetriesUpToLimit(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.endpoints["booking-0-0"].SetFaults(platformtest.EndpointFaults{DropResponses: true})
		call := i.call(0, "/status/1")
		if response := i.do(call); response.Status != 200 {
			t.Errorf("with healthy endpoints left: status %d, want 200", response.Status)
		}
		i.setFaults("booking", platformtest.EndpointFaults{DropResponses: true})
		time.Sleep(startupTime)
		call = i.call(0, "/status/1")
		response := i.do(call)
		if runs, _ := i.runsOfAttempt(call.AttemptID); len(runs) > 2 || response.Status == 200 {
			t.Errorf("%d runs and status %d, want at most 2 runs", len(runs), response.Status)
		}
	})
}

// Guards against 503, which means that a request did not run, for a request that one endpoint
// ran without a response and the next one refused.
func TestRefusalAfterLostResponseDoesNotClaimNotExecuted(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("booking", platformtest.EndpointFaults{Overloaded: true})
		i.endpoints["booking-0-0"].SetFaults(platformtest.EndpointFaults{DropResponses: true})
		call := i.call(0, "/status/1")
		response := i.do(call)
		if runs, _ := i.runsOfAttempt(call.AttemptID); response.Status != 502 || len(runs) != 1 {
			t.Errorf("status %d, %d runs; want 502 and one run", response.Status, len(runs))
		}
	})
}

// A response that belongs to another request is never forwarded.
func TestMisdirectedResponseIsDiscarded(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("booking", platformtest.EndpointFaults{ForeignResponse: true})
		for range 3 {
			call := i.call(0, "/book/1")
			if response := i.do(call); response.Status != 200 || response.Body != "done" || response.AttemptID != call.AttemptID {
				t.Errorf("response %+v, want 200 with the body and the attempt id of the request", response)
			}
		}
	})
}

// A stream that its endpoint aborts does not appear complete to the caller.
func TestBrokenStreamIsIncomplete(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("drafts", platformtest.EndpointFaults{TruncateStreams: true})
		if response := i.do(i.chatCall(0)); response.Complete {
			t.Errorf("a broken stream appears complete: %+v", response)
		}
	})
}

// Guards against a sound endpoint that gets no more requests for good because it once answered
// that they were meant for another one.
func TestWrongMisdirectionIsForgotten(t *testing.T) {
	withInstallation(t, func(i *installation) {
		const id = "booking-0-0"
		endpoint := i.endpoints[id]
		endpoint.Rename("office-9")
		for range 5 {
			_ = i.do(i.call(0, bookPath))
		}
		endpoint.Rename(id)
		time.Sleep(6 * time.Second)
		before := len(endpoint.Executions())
		for range 10 {
			_ = i.do(i.call(0, bookPath))
		}
		if len(endpoint.Executions()) == before {
			t.Errorf("%s executes no requests after it answered once that they were misdirected", id)
		}
	})
}

// An endpoint that reuses the address of another one refuses its requests. The gateway
// then sends them to another endpoint of the intended service.
func TestReusedAddress(t *testing.T) {
	withInstallation(t, func(i *installation) {
		endpoint := i.endpoints["booking-0-0"]
		i.network.CloseConnections(endpoint.ID)
		endpoint.Rename("office-9")
		for range 3 {
			call := i.call(0, "/book/1")
			response := i.do(call)
			_, endpoints := i.runsOfAttempt(call.AttemptID)
			if response.Status != 200 || len(endpoints) != 1 || endpoints[0] == "booking-0-0" {
				t.Errorf("status %d, ran at %v; want one run elsewhere", response.Status, endpoints)
			}
		}
	})
}

// A cold endpoint receives no more requests than its cold-start rate allows, from all
// gateways together.
func TestColdEndpointRateLimit(t *testing.T) {
	withInstallation(t, func(i *installation) {
		for _, endpoint := range i.endpoints {
			if endpoint.Service == "drafts" {
				endpoint.Restart()
				endpoint.SetColdStart(3 * time.Second)
			}
		}
		time.Sleep(500 * time.Millisecond)
		start := time.Now()
		callers := concurrency.NewGroup(context.Background())
		for index := range 240 {
			call := i.chatCall(index % zoneCount)
			callers.Go(func(ctx context.Context) {
				concurrency.Sleep(ctx, time.Duration(index)*8*time.Millisecond)
				_ = i.do(call)
			})
		}
		callers.Wait()
		// The limit is 1.5 times the rate, plus 5.
		const maxRequests = 10*1.5 + 5
		for name, endpoint := range i.endpoints {
			if endpoint.Service != "drafts" {
				continue
			}
			for second := range 2 {
				from := start.Add(time.Duration(second) * time.Second)
				count := 0
				for _, run := range endpoint.Executions() {
					if !run.StartedAt.Before(from) && run.StartedAt.Before(from.Add(time.Second)) {
						count++
					}
				}
				if count > maxRequests {
					t.Errorf("%s received %d requests in a second, want at most %v", name, count, maxRequests)
				}
			}
		}
	})
}

// Requests run only in regions that both the workspace and the route allow.
func TestAllowedRegionsOfWorkspaceAndRouteIntersect(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.configure(func(state *platformtest.DesiredState) { state.Workspaces[0].Regions = []string{regionName(2)} })
		time.Sleep(bounds.ConfigurationApply)
		call := i.call(0, "/status/1")
		i.do(call)
		_, endpoints := i.runsOfAttempt(call.AttemptID)
		if diff := cmp.Diff([]string{"booking-2-0"}, endpoints); diff != "" {
			t.Errorf("endpoints of a request of the workspace (-want +got):\n%s", diff)
		}
		call = i.call(0, "/home/1")
		response := i.do(call)
		if runs, _ := i.runsOfAttempt(call.AttemptID); len(runs) != 0 || response.Status != 503 {
			t.Errorf("no region is allowed by both: status %d, %d runs; want 503 and no run", response.Status, len(runs))
		}
	})
}
