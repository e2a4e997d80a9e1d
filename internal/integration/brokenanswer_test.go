package integration

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// promisesNotRun reports whether a status means to callers that their request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

const (
	bookPath       = "/book/1"
	bufferedAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + platformtest.HeaderAttemptID + ": %s\r\n" + platformtest.HeaderSignature + ": %s\r\nContent-Length: 9\r\n\r\nconfirmed"
	streamedAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + platformtest.HeaderAttemptID + ": %s\r\n" + platformtest.HeaderSignature + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"11\r\nid: 1\ndata: aso\n\n\r\n11\r\nid: 2\ndata: aso\n\n\r\n0\r\n\r\n"
	endlessAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + platformtest.HeaderAttemptID + ": %s\r\n" + platformtest.HeaderSignature + ": %s\r\n\r\nconfirmed"
)

// Guards against an answer that an endpoint breaks off, at any byte of its head or body, and
// that reaches the caller as a complete success or as a promise that the request did not run.
func TestBrokenOffAnswerIsNeitherCompleteNorRefused(t *testing.T) {
	cases := map[string]struct {
		answer, service string
		call            func(i *installation) platformtest.Request
		// headOnly is true if the end of the connection is the regular end of the body.
		headOnly bool
	}{
		"buffered":       {answer: bufferedAnswer, service: "booking", call: func(i *installation) platformtest.Request { return i.call(0, bookPath) }},
		"without length": {answer: endlessAnswer, service: "booking", call: func(i *installation) platformtest.Request { return i.call(0, bookPath) }, headOnly: true},
		"streamed":       {answer: streamedAnswer, service: "drafts", call: func(i *installation) platformtest.Request { return i.chatCall(0) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				whole := len(fmt.Sprintf(c.answer, strings.Repeat("x", len("attempt-100")), ""))
				if c.headOnly {
					whole = strings.Index(c.answer, "\r\n\r\n")
				}
				for cut := range whole {
					i.setFaults(c.service, platformtest.EndpointFaults{RawResponse: func(attempt, signature string) string {
						answer := fmt.Sprintf(c.answer, attempt, signature)
						return answer[:min(cut, len(answer)-1)]
					}})
					call := c.call(i)
					response, err := platformtest.Do(i.network.ForProcess("caller").Dial, call)
					switch runs, _ := i.runsOfAttempt(call.AttemptID); {
					case len(runs) > 1:
						t.Errorf("cut at byte %d: the request ran %d times", cut, len(runs))
					case err != nil:
					case promisesNotRun(response.Status):
						t.Errorf("cut at byte %d: status %d, but the request ran", cut, response.Status)
					case response.Status < fasthttp.StatusMultipleChoices && response.Complete:
						t.Errorf("cut at byte %d: a complete response with status %d and body %q", cut, response.Status, response.Body)
					}
					// Endpoints that failed are used again after a while.
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}

// Guards against a refusal that an endpoint sends once more on a connection that is in use for
// another request: the caller got a response that its request did not run, or it ran twice.
func TestRepeatedRefusalBelongsToNoOtherRequest(t *testing.T) {
	for name, call := range map[string]func(i *installation) platformtest.Request{
		"stream":       func(i *installation) platformtest.Request { return i.chatCall(0) },
		"non-repeated": func(i *installation) platformtest.Request { return i.call(0, bookPath) },
		"idempotent":   func(i *installation) platformtest.Request { return i.call(0, statusPath) },
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				callers := concurrency.NewGroup(context.Background())
				for range 6 {
					warmUp := call(i)
					callers.Go(func(context.Context) { i.do(warmUp) })
				}
				callers.Wait()
				i.setFaults("drafts", platformtest.EndpointFaults{RepeatRefusal: true})
				i.setFaults("booking", platformtest.EndpointFaults{RepeatRefusal: true})
				for range 5 {
					request := call(i)
					response, err := platformtest.Do(i.network.ForProcess("caller").Dial, request)
					runs, _ := i.runsOfAttempt(request.AttemptID)
					if len(runs) > 1 && name != "idempotent" {
						t.Errorf("the request ran %d times", len(runs))
					}
					if err == nil && len(runs) > 0 && promisesNotRun(response.Status) {
						t.Errorf("status %d, but the request ran", response.Status)
					}
				}
			})
		})
	}
}

// Guards against a request that waits until its deadline because the endpoint refused it without
// its ID on a connection that had carried other requests.
func TestRefusalWithoutIDIsAnsweredSoon(t *testing.T) {
	withInstallation(t, func(i *installation) {
		callers := concurrency.NewGroup(context.Background())
		for range 12 {
			warmUp := i.chatCall(0)
			callers.Go(func(context.Context) { i.do(warmUp) })
		}
		callers.Wait()
		i.setFaults("drafts", platformtest.EndpointFaults{Overloaded: true, Anonymous: true})
		if response := i.do(i.chatCall(0)); response.Duration > 3*time.Second {
			t.Errorf("the refused request was answered with status %d after %v, want 3s at most", response.Status, response.Duration)
		}
	})
}

// Guards against an error of another endpoint, or the end of the response, in the middle of a
// stream that broke off.
func TestBrokenStreamContinuesWithNothingElse(t *testing.T) {
	withInstallation(t, func(i *installation) {
		first := true
		i.setFaults("drafts", platformtest.EndpointFaults{RawResponse: func(attempt, signature string) string {
			if !first {
				return fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\n"+platformtest.HeaderAttemptID+": %s\r\n"+platformtest.HeaderSignature+": %s\r\nContent-Length: 6\r\n\r\nfailed", attempt, signature)
			}
			first = false
			return strings.TrimSuffix(fmt.Sprintf(streamedAnswer, attempt, signature), "0\r\n\r\n")
		}})
		call := i.chatCall(0)
		response, err := platformtest.Do(i.network.ForProcess("caller").Dial, call)
		if err != nil {
			t.Fatal(err)
		}
		if response.Complete || strings.Contains(response.Body, "failed") || strings.Contains(response.Body, "HTTP/") {
			t.Errorf("the caller got %q, complete=%t, want two events and a broken end", response.Body, response.Complete)
		}
		if runs, _ := i.runsOfAttempt(call.AttemptID); len(runs) != 1 {
			t.Errorf("the request ran %d times, want once", len(runs))
		}
	})
}
