package integration

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// maxReleaseTime is the maximum time until an endpoint stops working on the request of a
// disconnected caller.
const maxReleaseTime = 500 * time.Millisecond

// An endpoint is released soon after its caller disconnects, also before the first event.
func TestDisconnectedCallerReleasesEndpoint(t *testing.T) {
	for name, leaveAfter := range map[string]time.Duration{"before the first event": 20 * time.Millisecond, "in the stream": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				call := i.chatCall(0)
				call.OutputTokens, call.DisconnectAfter = 200, leaveAfter
				leftAt := time.Now().Add(leaveAfter)
				_, _ = platformtest.Do(i.network.ForProcess("caller").Dial, call)
				time.Sleep(time.Until(leftAt) + maxReleaseTime)
				for name, endpoint := range i.endpoints {
					if inFlight := endpoint.InFlight(); inFlight > 0 {
						t.Errorf("%s still works on %d requests %s after the caller disconnected", name, inFlight, maxReleaseTime)
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
		answer := i.do(call)
		if answer.Duration < 2*time.Second || answer.Duration > 2500*time.Millisecond || answer.Status < 500 || answer.Status == 503 {
			t.Errorf("answer %+v, want an unknown outcome after the route timeout of 2 s", answer)
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
			if answer := i.do(call); answer.Status != 503 || answer.RetryAfter == 0 || answer.Duration > 50*time.Millisecond {
				t.Errorf("%s: answer %+v, want 503 at once with Retry-After", call.Path, answer)
			}
		}
	})
}
