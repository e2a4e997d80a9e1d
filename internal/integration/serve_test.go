package integration

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Without faults, each kind of request receives the response of the endpoint. The endpoint
// receives the workspace and the remaining time, but not the API key.
func TestRequestsAreServed(t *testing.T) {
	withInstallation(t, func(i *installation) {
		for zone := range zoneCount {
			for _, path := range []string{"/status/1", "/book/1", "/open/1"} {
				call := i.call(zone, path)
				response := i.do(call)
				runs, _ := i.runsOfAttempt(call.AttemptID)
				if response.Status != 200 || !response.Complete || response.Signature == "" || response.AttemptID != call.AttemptID || len(runs) != 1 {
					t.Errorf("%s: response %+v, %d runs; want a complete response of one run", path, response, len(runs))
					continue
				}
				if runs[0].APIKey != "" || runs[0].Workspace != "aso" || runs[0].Body != "body" || runs[0].Timeout > call.Timeout || runs[0].Timeout < call.Timeout/2 {
					t.Errorf("%s: the endpoint received %+v", path, runs[0])
				}
			}
			call := i.chatCall(zone)
			response := i.do(call)
			if response.Status != 200 || !response.Complete || strings.Count(response.Body, "id: ") != 11 || response.TimeToFirstByte > 500*time.Millisecond {
				t.Errorf("chat completion: response %+v, want a complete one with 11 events, the first within 500 ms", response)
			}
		}
	})
}

// Invalid requests receive a specific status and do not reach an endpoint.
func TestInvalidRequests(t *testing.T) {
	withInstallation(t, func(i *installation) {
		cases := map[string]struct {
			change func(call *platformtest.Request)
			status int
		}{
			"unknown host": {func(call *platformtest.Request) { call.Host = "other.example" }, 404},
			"unknown path": {func(call *platformtest.Request) { call.Path = "/other/" }, 404},
			"unknown key":  {func(call *platformtest.Request) { call.APIKey = "stranger" }, 401},
			"no key":       {func(call *platformtest.Request) { call.APIKey = "" }, 401},
			"large body":   {func(call *platformtest.Request) { call.Body = strings.Repeat("b", 65<<10) }, 413},
			"large header": {func(call *platformtest.Request) {
				call.Header = map[string]string{"X-Other": strings.Repeat("h", 9<<10)}
			}, 431},
			"no key on a public route": {func(call *platformtest.Request) { call.Path, call.APIKey = "/open/1", "" }, 200},
		}
		for name, c := range cases {
			call := i.call(0, "/status/1")
			c.change(&call)
			response := i.do(call)
			runs, _ := i.runsOfAttempt(call.AttemptID)
			if response.Status != c.status || (c.status != 200) != (len(runs) == 0) {
				t.Errorf("%s: status %d and %d runs, want status %d", name, response.Status, len(runs), c.status)
			}
		}
	})
}

// A gateway without a configuration responds with 503 and Retry-After, and is not ready.
func TestNoConfiguration(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.stopProcess(gatewayName(0))
		i.network.Disconnect(gatewayName(0), "store", gatewayName(1), gatewayName(2))
		i.startGateway(0)
		time.Sleep(startupTime)
		response := i.do(i.call(0, "/status/1"))
		if response.Status != 503 || response.RetryAfter == 0 || i.ready(0) {
			t.Errorf("response %+v, ready %t; want 503 with Retry-After, and not ready", response, i.ready(0))
		}
		i.network.Reconnect(gatewayName(0), "store", gatewayName(1), gatewayName(2))
		time.Sleep(startupTime)
		if response := i.do(i.call(0, "/status/1")); response.Status != 200 || !i.ready(0) {
			t.Errorf("after the reconnect: response %+v, ready %t; want 200 and ready", response, i.ready(0))
		}
	})
}

// A request runs only in the allowed regions of its route, whichever gateway receives it.
func TestAllowedRegionsOfRoute(t *testing.T) {
	withInstallation(t, func(i *installation) {
		for zone := range zoneCount {
			call := i.call(zone, "/home/1")
			if response := i.do(call); response.Status != 200 {
				t.Errorf("response %+v, want status 200", response)
			}
			_, endpoints := i.runsOfAttempt(call.AttemptID)
			if diff := cmp.Diff([]string{"booking-1-0"}, endpoints); diff != "" {
				t.Errorf("endpoints of the request (-want +got):\n%s", diff)
			}
		}
	})
}

// The directory returns the gateways of the caller's region, or others if it has none.
func TestDirectory(t *testing.T) {
	withInstallation(t, func(i *installation) {
		if got := i.resolve(1, regionName(0)); !strings.Contains(got, gatewayAddress(0)) || strings.Contains(got, gatewayAddress(1)) {
			t.Errorf("addresses for callers of region 0: %s", got)
		}
		i.stopProcess(gatewayName(0))
		time.Sleep(startupTime)
		if got := i.resolve(1, regionName(0)); strings.Contains(got, gatewayAddress(0)) || !strings.Contains(got, gatewayAddress(1)) {
			t.Errorf("addresses for callers of region 0 after its gateway stopped: %s", got)
		}
	})
}
