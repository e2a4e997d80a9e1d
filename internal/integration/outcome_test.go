package integration

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// A booking whose answer is lost may have run: it is not sent again, and the caller is not
// told that it did not run.
func TestNonIdempotentRequestRunsAtMostOnce(t *testing.T) {
	for name, faults := range map[string]platformtest.EndpointFaults{
		"answer lost": {LoseAnswers: true},
		"failed":      {Fail: true},
		"hangs":       {Hang: true},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.setFaults("booking", faults)
				call := i.call(0, "/book/1")
				answer := i.do(call)
				runs, _ := i.runsOfAttempt(call.Attempt)
				if len(runs) != 1 || answer.Status == 503 || answer.Status == 429 || answer.Status < 500 {
					t.Errorf("%d runs and status %d, want one run and no word that it did not run", len(runs), answer.Status)
				}
				if answer.Took > call.Patience+500*time.Millisecond {
					t.Errorf("answered after %s, want at most half a second beyond %s", answer.Took, call.Patience)
				}
				i.setFaults("booking", platformtest.EndpointFaults{})
			})
		})
	}
}

// A booking that endpoints refuse without running it is offered to others, and then
// refused as one that did not run.
func TestRefusedRequestIsRetriedElsewhere(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.endpoints["booking-0-0"].SetFaults(platformtest.EndpointFaults{Full: true})
		for range 4 {
			call := i.call(0, "/book/1")
			answer := i.do(call)
			if runs, _ := i.runsOfAttempt(call.Attempt); answer.Status != 200 || len(runs) != 1 {
				t.Errorf("two endpoints have room: status %d, %d runs", answer.Status, len(runs))
			}
			time.Sleep(time.Second)
		}
		i.setFaults("booking", platformtest.EndpointFaults{Full: true})
		call := i.call(0, "/book/1")
		answer := i.do(call)
		if runs, _ := i.runsOfAttempt(call.Attempt); answer.Status != 503 || answer.RetryAfter == 0 || len(runs) != 0 {
			t.Errorf("no endpoint has room: answer %+v, %d runs; want 503 with a time to come back", answer, len(runs))
		}
	})
}

// A lookup may run again; it is sent to no more endpoints than its route allows.
func TestIdempotentRequestRetriesUpToLimit(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.endpoints["booking-0-0"].SetFaults(platformtest.EndpointFaults{LoseAnswers: true})
		call := i.call(0, "/status/1")
		if answer := i.do(call); answer.Status != 200 {
			t.Errorf("one sound endpoint is left: status %d", answer.Status)
		}
		i.setFaults("booking", platformtest.EndpointFaults{LoseAnswers: true})
		time.Sleep(startupTime)
		call = i.call(0, "/status/1")
		answer := i.do(call)
		if runs, _ := i.runsOfAttempt(call.Attempt); len(runs) > 2 || answer.Status == 200 {
			t.Errorf("%d runs and status %d, want at most 2 runs", len(runs), answer.Status)
		}
	})
}

// An answer that belongs to another request is never passed on.
func TestMisdirectedResponseIsDiscarded(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("booking", platformtest.EndpointFaults{Foreign: true})
		for range 3 {
			call := i.call(0, "/book/1")
			if answer := i.do(call); answer.Status != 200 || answer.Body != "done" || answer.Attempt != call.Attempt {
				t.Errorf("answer %+v", answer)
			}
		}
	})
}

// A stream that its endpoint breaks off does not look complete.
func TestBrokenStreamIsIncomplete(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("drafts", platformtest.EndpointFaults{Break: true})
		if answer := i.do(i.chatCall(0)); answer.Whole {
			t.Errorf("the caller got a broken stream as complete: %+v", answer)
		}
	})
}

// An address that another endpoint took over is noticed by its refusal; the request runs
// where it was meant to.
func TestReusedAddress(t *testing.T) {
	withInstallation(t, func(i *installation) {
		endpoint := i.endpoints["booking-0-0"]
		i.network.CloseConnections(endpoint.ID)
		endpoint.Rename("office-9")
		for range 3 {
			call := i.call(0, "/book/1")
			answer := i.do(call)
			_, endpoints := i.runsOfAttempt(call.Attempt)
			if answer.Status != 200 || len(endpoints) != 1 || endpoints[0] == "booking-0-0" {
				t.Errorf("status %d, ran at %v; want one run elsewhere", answer.Status, endpoints)
			}
		}
	})
}

// A cold endpoint gets no more than it bears, from all gateways together.
func TestColdEndpointRateLimit(t *testing.T) {
	withInstallation(t, func(i *installation) {
		for _, endpoint := range i.endpoints {
			if endpoint.Service == "drafts" {
				endpoint.Restart()
				endpoint.SetCold(3 * time.Second)
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
		// The bound is the rate times 1.5 and 5 more.
		const maxRequests = 10*1.5 + 5
		for name, endpoint := range i.endpoints {
			if endpoint.Service != "drafts" {
				continue
			}
			for second := range 2 {
				from := start.Add(time.Duration(second) * time.Second)
				count := 0
				for _, run := range endpoint.Runs() {
					if !run.At.Before(from) && run.At.Before(from.Add(time.Second)) {
						count++
					}
				}
				if count > maxRequests {
					t.Errorf("%s got %d requests in a second, want at most %v", name, count, maxRequests)
				}
			}
		}
	})
}

// What the workspace's and the route's homes allow together counts.
func TestAllowedRegionsOfWorkspaceAndRouteIntersect(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.configure(func(state *platformtest.DesiredState) { state.Tenants[0].Regions = []string{regionName(2)} })
		time.Sleep(bounds.ConfigurationApply)
		call := i.call(0, "/status/1")
		i.do(call)
		_, endpoints := i.runsOfAttempt(call.Attempt)
		if diff := cmp.Diff([]string{"booking-2-0"}, endpoints); diff != "" {
			t.Errorf("endpoints of a request of the workspace (-want +got):\n%s", diff)
		}
		call = i.call(0, "/home/1")
		answer := i.do(call)
		if runs, _ := i.runsOfAttempt(call.Attempt); len(runs) != 0 || answer.Status != 503 {
			t.Errorf("no region is a home of both: status %d, %d runs", answer.Status, len(runs))
		}
	})
}
