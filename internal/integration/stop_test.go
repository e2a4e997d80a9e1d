package integration

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// stopOutcome is the response to a request that was sent while its gateway stopped.
type stopOutcome struct {
	call     platformtest.Request
	sentAt   time.Duration
	response platformtest.Response
	err      error
}

// callWhileStopping stops a gateway and sends it a long chat completion every interval
// until it refuses connections, each on a new connection.
func (i *installation) callWhileStopping(zone int, interval time.Duration) []stopOutcome {
	var mu sync.Mutex
	var outcomes []stopOutcome
	callers := concurrency.NewGroup(context.Background())
	start := time.Now()
	callers.Go(func(context.Context) { i.stopProcess(gatewayName(zone)) })
	for time.Since(start) < bounds.GracePeriod {
		call := i.chatCall(zone)
		call.OutputTokens = 150
		sentAt := time.Since(start)
		conn, err := i.network.ForProcess("caller").Dial(call.Gateway)
		if err != nil {
			break
		}
		callers.Go(func(context.Context) {
			response, err := platformtest.Do(func(string) (net.Conn, error) { return conn, nil }, call)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, stopOutcome{call: call, sentAt: sentAt, response: response, err: err})
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return outcomes
}

// A planned stop must not cut off a request that the gateway accepted, also if the request
// arrives long after the stop began, from a caller with an old directory response. The
// gateway either serves such a request or states that it did not run.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	withInstallation(t, func(i *installation) {
		served := 0
		for _, outcome := range i.callWhileStopping(0, 150*time.Millisecond) {
			runs, _ := i.runsOfAttempt(outcome.call.AttemptID)
			description := fmt.Sprintf("request %s after the stop began: response %+v, error %v, %d runs", outcome.sentAt, outcome.response, outcome.err, len(runs))
			switch {
			case outcome.err != nil || !outcome.response.Complete && outcome.response.Status == 200:
				t.Errorf("%s; want a complete response", description)
			case outcome.response.Status == 200:
				served++
			case outcome.response.Status != 503 || len(runs) != 0 || outcome.response.RetryAfter == 0 || !outcome.response.ConnectionClose:
				t.Errorf("%s; want 503 with Retry-After, a closed connection and no run", description)
			}
		}
		if served == 0 {
			t.Error("no request was served while the gateway stopped")
		}
	})
}

// Guards against a process that exits while a response that its handler has finished, or a
// refusal, is still being written to a caller that reads slowly.
func TestPlannedStopCompletesResponsesToSlowCallers(t *testing.T) {
	withInstallation(t, func(i *installation) {
		callers := concurrency.NewGroup(context.Background())
		callers.Go(func(context.Context) { i.stopProcess(gatewayName(0)) })
		time.Sleep(3900 * time.Millisecond)
		buffered, refused := i.call(0, "/status/1"), i.chatCall(0)
		for wantStatus, call := range map[int]platformtest.Request{200: buffered, 503: refused} {
			call.ReadDelay = 1500 * time.Millisecond
			callers.Go(func(context.Context) {
				response, err := platformtest.Do(i.network.ForProcess("caller").Dial, call)
				if err != nil || response.Status != wantStatus || !response.Complete {
					t.Errorf("%s: response %+v, error %v; want a complete response with status %d", call.Path, response, err, wantStatus)
				}
			})
		}
		callers.Wait()
	})
}

// Guards against a process that exits without an answer to a request that it accepted early
// in the drain and whose endpoint has not responded.
func TestPlannedStopAnswersRequestsWithoutResponse(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("drafts", platformtest.EndpointFaults{Hang: true})
		callers := concurrency.NewGroup(context.Background())
		callers.Go(func(context.Context) { i.stopProcess(gatewayName(0)) })
		time.Sleep(2500 * time.Millisecond)
		call := i.chatCall(0)
		callers.Go(func(context.Context) {
			response, err := platformtest.Do(i.network.ForProcess("caller").Dial, call)
			if err != nil || response.Status != 502 || !response.Complete || response.Duration > call.Timeout {
				t.Errorf("response %+v, error %v; want a complete response with status 502", response, err)
			}
		})
		callers.Wait()
		i.setFaults("drafts", platformtest.EndpointFaults{})
	})
}

// Guards against a stream that a stop cuts off and that counts as one whose caller left.
func TestStreamCutByStopCountsAsFailed(t *testing.T) {
	withInstallation(t, func(i *installation) {
		callers := concurrency.NewGroup(context.Background())
		callers.Go(func(context.Context) { i.stopProcess(gatewayName(0)) })
		time.Sleep(2500 * time.Millisecond)
		call := i.chatCall(0)
		call.OutputTokens = 600
		if response := i.do(call); response.Status != 200 || response.Complete {
			t.Errorf("response %+v, want a stream that is cut off", response)
		}
		callers.Wait()
		if failed, left := i.requestsWithOutcome(gatewayName(0), "failed"), i.requestsWithOutcome(gatewayName(0), "callerLeft"); failed != 1 || left != 0 {
			t.Errorf("%v requests failed, %v callers left; want 1 and 0", failed, left)
		}
	})
}
