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
				for zone := range zoneCount {
					if rejected := i.metric(gatewayName(zone), "mimosaward_gateway_rejected_parts"); rejected != 1 {
						t.Errorf("%s rejects %v requests and parts, want only the deadly request", gatewayName(zone), rejected)
					}
				}
				_, usual := callers.servedShare(onset.Add(-10*time.Second), onset)
				if sent, share := callers.servedShare(known.Add(contact), end); sent < 100 || share < 0.98*usual {
					t.Errorf("%d sound requests later than %s after the crashes, %.1f %% of them served, %.1f %% before; failed of all: %v", sent, 2*contact, 100*share, 100*usual, callers.failed)
				}
			})
		})
	}
}
