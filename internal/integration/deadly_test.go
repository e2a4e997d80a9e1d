package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// deadlyBody is the body of the request under which endpoints crash, hotBody that of a
	// sound request that callers send again and again.
	deadlyBody = "deadly"
	hotBody    = "hot"
	// crashesToKnow is the number of crashes after which gateways must know the request.
	crashesToKnow = 3
)

// mixedCallers send sound requests of all kinds, and the deadly one, to all gateways.
type mixedCallers struct {
	installation *installation
	group        *concurrency.Group

	mu     sync.Mutex
	sound  []soundRequest
	failed map[string]int
}

// send sends a request to the gateway of a zone every interval until the group stops. prepare
// changes each request.
func (c *mixedCallers) send(zone int, template platformtest.Request, interval time.Duration, prepare func(call *platformtest.Request, index int)) {
	c.group.Go(func(ctx context.Context) {
		for index := 0; concurrency.Sleep(ctx, interval); index++ {
			call := template
			call.AttemptID = fmt.Sprintf("%s-%d-%d", template.Body, zone, index)
			prepare(&call, index)
			sentAt := time.Now()
			c.group.Go(func(context.Context) {
				response, err := platformtest.Do(c.installation.network.ForProcess("caller").Dial, call)
				if call.Body == deadlyBody {
					return
				}
				served := err == nil && response.Status == 200 && response.Complete
				c.mu.Lock()
				defer c.mu.Unlock()
				c.sound = append(c.sound, soundRequest{sentAt: sentAt, served: served})
				if !served {
					c.failed[fmt.Sprintf("%s %d", call.Path, response.Status)]++
				}
			})
		}
	})
}

// sendSound sends sound requests of each kind: new ones, and for plain services also the same one
// again and again.
func (c *mixedCallers) sendSound(zone int) {
	for _, path := range []string{"/status/1", "/book/1"} {
		call := c.installation.call(zone, path)
		c.send(zone, call, 100*time.Millisecond, func(call *platformtest.Request, index int) { call.Body = fmt.Sprint("new-", zone, "-", index) })
		c.send(zone, call, 100*time.Millisecond, func(call *platformtest.Request, _ int) { call.Body = hotBody })
	}
	c.send(zone, c.installation.chatCall(zone), 300*time.Millisecond, func(call *platformtest.Request, index int) {
		call.Body = fmt.Sprint("new-", zone, "-", index)
	})
}

// servedShare returns the number of sound requests sent in a period and the share of them that
// were served.
func (c *mixedCallers) servedShare(from, to time.Time) (sent int, share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, request := range c.sound {
		if request.sentAt.Before(from) || !request.sentAt.Before(to) {
			continue
		}
		sent++
		if request.served {
			served++
		}
	}
	return sent, float64(served) / float64(max(1, sent))
}

// runsWithBody returns the number of requests with a body that reached endpoints after a time.
func (i *installation) runsWithBody(body string, after time.Time) int {
	count := 0
	for _, endpoint := range i.endpoints {
		for _, run := range endpoint.Executions() {
			if run.Body == body && run.StartedAt.After(after) {
				count++
			}
		}
	}
	return count
}

// requireRejections checks how many requests and prompt parts each gateway rejects.
func (i *installation) requireRejections(want float64) {
	i.t.Helper()
	for zone := range zoneCount {
		if rejected := i.metric(gatewayName(zone), "mimosaward_gateway_rejected_parts"); rejected != want {
			i.t.Errorf("%s rejects %v requests and parts, want %v", gatewayName(zone), rejected, want)
		}
	}
}

// Guards against a request that ends one worker after the other: it came again at every gateway,
// which knew only the prompt parts that it shared with sound requests.
func TestDeadlyRequestStopsReachingWorkers(t *testing.T) {
	for name, test := range map[string]struct {
		service, path string
		faults        platformtest.EndpointFaults
		attempts      int
		interval      time.Duration
	}{
		"stream, before the first event":    {service: "drafts", path: "/draft/new", interval: time.Second},
		"stream, rarely":                    {service: "drafts", path: "/draft/new", interval: 9 * time.Second},
		"stream, late in the answer":        {service: "drafts", path: "/draft/new", faults: platformtest.EndpointFaults{EventsBeforeCrash: 100, CrashDelay: 400 * time.Millisecond}, interval: time.Second},
		"idempotent, with two attempts":     {service: "booking", path: "/status/1", attempts: 2, interval: time.Second},
		"idempotent, with three attempts":   {service: "booking", path: "/status/1", attempts: 3, interval: time.Second},
		"idempotent, three attempts, fast":  {service: "booking", path: "/status/1", faults: platformtest.EndpointFaults{CrashDelay: 5 * time.Millisecond}, attempts: 3, interval: 9 * time.Second},
		"not idempotent":                    {service: "booking", path: "/book/1", attempts: 2, interval: time.Second},
		"not idempotent, slow to the crash": {service: "booking", path: "/book/1", faults: platformtest.EndpointFaults{CrashDelay: time.Second}, attempts: 2, interval: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.configure(func(state *platformtest.DesiredState) {
					state.Routes[0].MaxAttempts = max(2, test.attempts)
				})
				callers := &mixedCallers{installation: i, group: concurrency.NewGroup(context.Background()), failed: map[string]int{}}
				for zone := range zoneCount {
					callers.sendSound(zone)
				}
				time.Sleep(10 * time.Second)
				onset := time.Now()
				faults := test.faults
				faults.CrashOnBody = deadlyBody
				i.setFaults(test.service, faults)
				for zone := range zoneCount {
					call := i.call(zone, test.path)
					if test.service == "drafts" {
						call = i.chatCall(zone)
						call.PromptID = "deadly-prompt"
					}
					call.Body = deadlyBody
					time.Sleep(test.interval / zoneCount)
					callers.send(zone, call, test.interval, func(*platformtest.Request, int) {})
				}
				time.Sleep(50 * time.Second)
				end := time.Now()
				callers.group.Stop()
				callers.group.Wait()
				crashes := i.crashes()
				if len(crashes) < crashesToKnow {
					t.Fatalf("%d crashes, want several", len(crashes))
				}
				known := crashes[crashesToKnow-1].Add(contact)
				if late := i.runsWithBody(deadlyBody, known); late > maxSentAfterContact {
					t.Errorf("the request reached workers %d times later than %s after crash %d, %d workers crashed; want %d at most", late, contact, crashesToKnow, len(crashes), maxSentAfterContact)
				}
				i.requireRejections(1)
				_, usual := callers.servedShare(onset.Add(-10*time.Second), onset)
				if sent, share := callers.servedShare(known.Add(contact), end); sent < 100 || share < 0.98*usual {
					t.Errorf("%d sound requests later than %s after the crashes, %.1f %% of them served, %.1f %% before; failed of all: %v", sent, 2*contact, 100*share, 100*usual, callers.failed)
				}
			})
		})
	}
}

// Guards against a gateway that forgets a rejected request when it restarts, and against a refusal
// that is not true: 503 promises that the request has not run.
func TestDeadlyRequestIsRefusedByEveryGateway(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("booking", platformtest.EndpointFaults{CrashOnBody: deadlyBody})
		call := i.call(0, "/book/1")
		call.Body = deadlyBody
		for index := range crashesToKnow {
			call.AttemptID = fmt.Sprint("crash-", index)
			if response := i.do(call); response.Status != 502 {
				t.Errorf("response to request %d is %+v, want status 502", index, response)
			}
			time.Sleep(time.Second)
		}
		i.stopProcess(gatewayName(1))
		i.startGateway(1)
		time.Sleep(2 * startupTime)
		for zone := range zoneCount {
			call.Gateway, call.AttemptID = gatewayAddress(zone), fmt.Sprint("refused-", zone)
			response := i.do(call)
			if response.Status != 503 || response.RetryAfter <= 0 {
				t.Errorf("%s responds with %+v, want status 503 with the time of the refusal", call.Gateway, response)
			}
		}
		if crashes := i.crashes(); len(crashes) != crashesToKnow {
			t.Errorf("%d workers crashed, want %d", len(crashes), crashesToKnow)
		}
		i.requireRejections(1)
	})
}

// Guards against a request with many attempts that alone ends a worker with each of them, and
// against the loss of the attempts of a request whose answers are lost.
func TestAttemptsAfterBrokenConnections(t *testing.T) {
	for name, test := range map[string]struct {
		faults     platformtest.EndpointFaults
		wantRuns   int
		wantStatus int
	}{
		"workers end":      {platformtest.EndpointFaults{CrashOnBody: deadlyBody}, 2, 502},
		"answers are lost": {platformtest.EndpointFaults{DropResponses: true}, 3, 200},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.configure(func(state *platformtest.DesiredState) { state.Routes[0].MaxAttempts = 3 })
				time.Sleep(bounds.ConfigurationApply)
				for range 30 {
					i.do(i.call(0, "/status/1"))
				}
				for _, zone := range []int{0, 1} {
					i.endpoints[fmt.Sprintf("booking-%d-0", zone)].SetFaults(test.faults)
				}
				call := i.call(0, "/status/1")
				call.Body = deadlyBody
				// Only a request whose first attempts reach the two faulty endpoints is of interest.
				for attempt := 0; ; attempt++ {
					call.AttemptID = fmt.Sprint("status-", attempt)
					response := i.do(call)
					runs, _ := i.runsOfAttempt(call.AttemptID)
					if len(runs) < 2 && attempt < 50 {
						time.Sleep(3 * time.Second)
						continue
					}
					if len(runs) != test.wantRuns || response.Status != test.wantStatus {
						t.Errorf("attempt %d ran %d times, response %+v; want %d runs and status %d", attempt, len(runs), response, test.wantRuns, test.wantStatus)
					}
					return
				}
			})
		})
	}
}

// Guards against a sound request that is refused because workers end for other reasons: one after
// the other, all at once, or not at all while their answers are lost, also when gateways restart.
func TestOtherFaultsOfWorkersRejectNoRequest(t *testing.T) {
	withInstallation(t, func(i *installation) {
		callers := &mixedCallers{installation: i, group: concurrency.NewGroup(context.Background()), failed: map[string]int{}}
		for zone := range zoneCount {
			callers.sendSound(zone)
		}
		time.Sleep(5 * time.Second)
		crash := func(zones ...int) {
			for _, zone := range zones {
				i.endpoints[fmt.Sprintf("booking-%d-0", zone)].Crash()
				i.endpoints[engineName(zone, 0)].Crash()
				i.endpoints[engineName(zone, 1)].Crash()
			}
		}
		for round := range 15 {
			crash(round % zoneCount)
			time.Sleep(700 * time.Millisecond)
		}
		for range 4 {
			// Engines need more than 3 s until they answer again.
			time.Sleep(2 * startupTime)
			crash(0, 1, 2)
		}
		time.Sleep(2 * startupTime)
		i.requireRejections(0)
		for _, faults := range []platformtest.EndpointFaults{{DropResponses: true}, {Fail: true}, {TruncateStreams: true}, {Fail: true, FailStatus: 404}} {
			i.setFaults("booking", faults)
			i.setFaults("drafts", faults)
			for round := range zoneCount {
				time.Sleep(time.Second)
				crash(round)
			}
			i.requireRejections(0)
			i.setFaults("booking", platformtest.EndpointFaults{})
			i.setFaults("drafts", platformtest.EndpointFaults{})
			time.Sleep(3 * time.Second)
		}
		for zone := range zoneCount {
			i.stopProcess(gatewayName(zone))
			i.startGateway(zone)
			time.Sleep(startupTime)
			crash(zone)
		}
		time.Sleep(2 * startupTime)
		settled := time.Now()
		time.Sleep(3 * time.Second)
		i.requireRejections(0)
		end := time.Now()
		callers.group.Stop()
		callers.group.Wait()
		if sent, share := callers.servedShare(settled, end); sent < 100 || share < 0.98 {
			t.Errorf("%d requests after the faults, %.1f %% of them served; failed of all: %v", sent, 100*share, callers.failed)
		}
	})
}
