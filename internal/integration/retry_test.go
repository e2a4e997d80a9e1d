package integration

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Guards against a gateway that makes no more retries after its first ones: callers got the
// errors of one endpoint although others served.
func TestRetriesContinueAsRequestsArrive(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.endpoints["booking-0-0"].SetFaults(platformtest.EndpointFaults{Fail: true})
		failed, sent := 0, 0
		for end := time.Now().Add(3 * time.Minute); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			sent++
			if response := i.do(i.call(0, statusPath)); response.Status != fasthttp.StatusOK {
				failed++
			}
		}
		if retried := i.endpoints["booking-0-0"].Arrivals(); retried < 20 {
			t.Fatalf("only %d requests reached the endpoint that fails, want enough to need a renewed budget", retried)
		}
		if failed > 0 {
			t.Errorf("%d of %d requests failed, want none: two other endpoints serve", failed, sent)
		}
	})
}

// Guards against an error that an endpoint sends after it ran a request, and whose status means
// to callers that the request did not run. Status 421 always means that it did not.
func TestErrorOfEndpointIsNoPromise(t *testing.T) {
	for _, status := range []int{fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable} {
		t.Run(fasthttp.StatusMessage(status), func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.setFaults("booking", platformtest.EndpointFaults{Fail: true, FailStatus: status})
				for _, path := range []string{bookPath, statusPath} {
					call := i.call(0, path)
					response := i.do(call)
					if runs, _ := i.runsOfAttempt(call.AttemptID); len(runs) > 0 && promisesNotRun(response.Status) {
						t.Errorf("%s ended with status %d, but it ran", path, response.Status)
					}
					if response.Signature != "" && response.Status != status {
						t.Errorf("%s ended with status %d and the endpoint's signature, which signed %d", path, response.Status, status)
					}
				}
			})
		})
	}
}

// Guards against requests that are counted twice, or not at all: the share of failures that
// operators see was wrong.
func TestEachRequestIsCountedOnce(t *testing.T) {
	brokenHead := func(attempt, signature string) string {
		return "HTTP/1.1 200 OK\r\n" + platformtest.HeaderAttemptID + ": " + attempt + "\r\n" + platformtest.HeaderSignature + ": " + signature + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	}
	failure := func(attempt, signature string) string {
		return "HTTP/1.1 500 Internal Server Error\r\n" + platformtest.HeaderAttemptID + ": " + attempt + "\r\n" + platformtest.HeaderSignature + ": " + signature + "\r\nContent-Length: 2\r\n\r\nno"
	}
	cases := map[string]struct {
		service string
		faults  platformtest.EndpointFaults
		call    func(i *installation) platformtest.Request
		outcome string
	}{
		"served":                    {"booking", platformtest.EndpointFaults{}, func(i *installation) platformtest.Request { return i.call(0, bookPath) }, "served"},
		"served stream":             {"drafts", platformtest.EndpointFaults{}, func(i *installation) platformtest.Request { return i.chatCall(0) }, "served"},
		"error of an endpoint":      {"booking", platformtest.EndpointFaults{Fail: true}, func(i *installation) platformtest.Request { return i.call(0, bookPath) }, "failed"},
		"error instead of a stream": {"drafts", platformtest.EndpointFaults{RawResponse: failure}, func(i *installation) platformtest.Request { return i.chatCall(0) }, "failed"},
		"stream without an event":   {"drafts", platformtest.EndpointFaults{RawResponse: brokenHead}, func(i *installation) platformtest.Request { return i.chatCall(0) }, "refused"},
		"refused":                   {"booking", platformtest.EndpointFaults{Overloaded: true}, func(i *installation) platformtest.Request { return i.call(0, bookPath) }, "refused"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.setFaults(c.service, c.faults)
				i.do(c.call(i))
				time.Sleep(time.Second)
				for _, outcome := range []string{"served", "failed", "refused", "callerLeft"} {
					want := 0.0
					if outcome == c.outcome {
						want = 1
					}
					if got := i.requestsWithOutcome(gatewayName(0), outcome); got != want {
						t.Errorf("%v requests count as %s, want %v", got, outcome, want)
					}
				}
			})
		})
	}
}
