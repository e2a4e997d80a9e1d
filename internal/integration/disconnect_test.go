package integration

import (
	"slices"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// maxReleaseTime is the maximum time until an endpoint stops processing the request of a
// disconnected caller.
const maxReleaseTime = 500 * time.Millisecond

// An endpoint is released soon after its caller disconnects, also before the first event.
func TestDisconnectedCallerReleasesEndpoint(t *testing.T) {
	for name, disconnectAfter := range map[string]time.Duration{"before the first event": 20 * time.Millisecond, "during the stream": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				call := i.chatCall(0)
				call.OutputTokens, call.DisconnectAfter = 200, disconnectAfter
				disconnectedAt := time.Now().Add(disconnectAfter)
				_, _ = platformtest.Do(i.network.ForProcess("caller").Dial, call)
				time.Sleep(time.Until(disconnectedAt) + maxReleaseTime)
				for name, endpoint := range i.endpoints {
					if inFlight := endpoint.InFlight(); inFlight > 0 {
						t.Errorf("%s still processes %d requests %s after the caller disconnected", name, inFlight, maxReleaseTime)
					}
				}
			})
		})
	}
}

// The timeout of the route applies even if the deadline of the caller is later.
func TestRouteTimeout(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("booking", platformtest.EndpointFaults{Hang: true})
		call := i.call(0, "/book/1")
		call.Timeout = 30 * time.Second
		response := i.do(call)
		if response.Duration < 2*time.Second || response.Duration > 2500*time.Millisecond || response.Status < 500 || response.Status == 503 {
			t.Errorf("response %+v, want an unknown outcome after the route timeout of 2 s", response)
		}
		i.setFaults("booking", platformtest.EndpointFaults{})
	})
}

// Requests that no endpoint can serve are rejected at once, with a Retry-After header.
func TestRejectedWithoutEndpoints(t *testing.T) {
	withInstallation(t, func(i *installation) {
		for _, endpoint := range i.endpoints {
			endpoint.Deregister()
		}
		time.Sleep(bounds.Drain)
		for _, call := range []platformtest.Request{i.call(0, "/book/1"), i.chatCall(0)} {
			if response := i.do(call); response.Status != 503 || response.RetryAfter == 0 || response.Duration > 50*time.Millisecond {
				t.Errorf("%s: response %+v, want 503 at once with Retry-After", call.Path, response)
			}
		}
	})
}

// Guards against callers that leave before their response taking a sound endpoint out of
// use: the aborted attempt says nothing about the endpoint.
func TestDisconnectedCallerDoesNotCountAgainstEndpoint(t *testing.T) {
	withInstallation(t, func(i *installation) {
		for service, call := range map[string]platformtest.Request{"drafts": i.chatCall(0), "booking": i.call(0, "/book/1")} {
			i.setFaults(service, platformtest.EndpointFaults{Hang: true})
			call.DisconnectAfter = 5 * time.Millisecond
			_, _ = platformtest.Do(i.network.ForProcess("caller").Dial, call)
		}
		time.Sleep(maxReleaseTime)
		if failureRates := i.metricValues(gatewayName(0), "mimosaward_endpoint_failure_share"); slices.Max(failureRates) > 0 {
			t.Errorf("failure rates %v after callers left, want 0 for every endpoint", failureRates)
		}
		i.setFaults("drafts", platformtest.EndpointFaults{})
		i.setFaults("booking", platformtest.EndpointFaults{})
	})
}

// Guards against an endpoint that counts as failing because callers left before it could
// respond: gateways would send it no requests for up to 4 s.
func TestDisconnectedCallerIsNoFailureOfEndpoint(t *testing.T) {
	withInstallation(t, func(i *installation) {
		for range 5 {
			call := i.chatCall(0)
			call.PromptTokens, call.DisconnectAfter = 10_000, 20*time.Millisecond
			_, _ = platformtest.Do(i.network.ForProcess("caller").Dial, call)
		}
		time.Sleep(maxReleaseTime)
		if share := i.gauge(gatewayName(0), "mimosaward_endpoint_failure_share"); share != 0 {
			t.Errorf("failure shares of the endpoints sum up to %.2f, want 0", share)
		}
	})
}

// Guards against a request that reaches an endpoint long after its caller left, because it
// was still being sent when the caller did.
func TestRequestOfCallerThatLeftIsNotSentLater(t *testing.T) {
	withInstallation(t, func(i *installation) {
		var services []string
		for name, endpoint := range i.endpoints {
			if endpoint.Service == "booking" {
				services = append(services, name)
			}
		}
		for _, name := range services {
			i.network.Freeze(gatewayName(0), name)
		}
		call := i.call(0, "/status/1")
		call.DisconnectAfter = 300 * time.Millisecond
		_, _ = platformtest.Do(i.network.ForProcess("caller").Dial, call)
		time.Sleep(time.Second)
		for _, name := range services {
			i.network.Unfreeze(gatewayName(0), name)
		}
		time.Sleep(maxReleaseTime)
		if runs, _ := i.runsOfAttempt(call.AttemptID); len(runs) > 0 {
			t.Errorf("%d runs began 1 s after the caller had left", len(runs))
		}
	})
}
