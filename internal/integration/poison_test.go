package integration

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// contact is the time after the fifth crash from which gateways must have stopped to
	// send requests with the part.
	contact = 3 * time.Second
	// maxSentAfterContact is the number of such requests that may still reach engines.
	maxSentAfterContact = 3
	// crashesToLearn is the number of crashes after which gateways must know the part.
	crashesToLearn = 5

	poisonousPart = "bad0"
)

// poisonCallers sends sound requests and requests with a poisonous part to all gateways.
type poisonCallers struct {
	installation *installation
	group        *concurrency.Group

	mu    sync.Mutex
	sound []soundRequest
}

// soundRequest is a request without the poisonous part.
type soundRequest struct {
	sentAt time.Time
	served bool
}

// send sends a request to a gateway every interval until the group stops.
func (c *poisonCallers) send(zone int, kind string, interval time.Duration, parts func(index int) []string) {
	template := c.installation.chatCall(zone)
	c.group.Go(func(ctx context.Context) {
		for index := 0; concurrency.Sleep(ctx, interval); index++ {
			call := template
			call.AttemptID = fmt.Sprintf("%s-%d-%d", kind, zone, index)
			call.PromptParts = parts(index)
			c.do(call)
		}
	})
}

// sendOnce sends a request to the gateway of a zone.
func (c *poisonCallers) sendOnce(zone int, id string, parts []string) {
	call := c.installation.chatCall(zone)
	call.AttemptID, call.PromptParts = id, parts
	c.do(call)
}

// do sends a request in the background and records its outcome if it is sound.
func (c *poisonCallers) do(call platformtest.Request) {
	sentAt := time.Now()
	c.group.Go(func(context.Context) {
		response, err := platformtest.Do(c.installation.network.ForProcess("caller").Dial, call)
		if slices.Contains(call.PromptParts, poisonousPart) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sound = append(c.sound, soundRequest{sentAt: sentAt, served: err == nil && response.Status == 200 && response.TimeToFirstByte > 0})
	})
}

// servedShare returns the number of sound requests sent in a period and the share of them
// that an engine began to answer.
func (c *poisonCallers) servedShare(from, to time.Time) (sent int, share float64) {
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

// crashes returns the times of all crashes, in order.
func (i *installation) crashes() []time.Time {
	var all []time.Time
	for _, endpoint := range i.endpoints {
		all = append(all, endpoint.Crashes()...)
	}
	slices.SortFunc(all, time.Time.Compare)
	return all
}

// runsWithPart returns the times at which requests with a prompt part reached engines.
func (i *installation) runsWithPart(part string) []time.Time {
	var all []time.Time
	for _, endpoint := range i.endpoints {
		for _, run := range endpoint.Executions() {
			if slices.Contains(run.PromptParts, part) {
				all = append(all, run.StartedAt)
			}
		}
	}
	return all
}

// Guards against a prompt part that ends one engine after the other: requests with the part
// came at every gateway, and each gateway sent them to the next engine.
func TestPoisonousPromptPartStopsReachingEngines(t *testing.T) {
	for name, faults := range map[string]platformtest.EndpointFaults{
		"crash before the first event":                                     {CrashOnPart: poisonousPart},
		"crash after the first event":                                      {CrashOnPart: poisonousPart, EventsBeforeCrash: 1},
		"crash after the first event of streams that end with connections": {CrashOnPart: poisonousPart, EventsBeforeCrash: 1, Unframed: true},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				callers := &poisonCallers{installation: i, group: concurrency.NewGroup(context.Background())}
				for zone := range zoneCount {
					callers.send(zone, "sound", 250*time.Millisecond, func(index int) []string {
						return []string{"first", fmt.Sprint("subject-", index%7), fmt.Sprint("session-", zone, "-", index/4)}
					})
				}
				time.Sleep(10 * time.Second)
				onset := time.Now()
				i.setFaults("drafts", faults)
				for zone := range zoneCount {
					callers.send(zone, "poisonous", time.Second, func(index int) []string {
						return []string{"first", poisonousPart, fmt.Sprint("subject-", index%7)}
					})
				}
				time.Sleep(40 * time.Second)
				end := time.Now()
				callers.group.Stop()
				callers.group.Wait()
				i.requirePartStopped(poisonousPart)
				for zone := range zoneCount {
					if rejected := i.metric(gatewayName(zone), "mimosaward_gateway_rejected_parts"); rejected != 1 {
						t.Errorf("%s rejects %v parts, want only the poisonous one", gatewayName(zone), rejected)
					}
				}
				crashes := i.crashes()
				if len(crashes) == 0 {
					t.Fatal("no engine crashed")
				}
				_, usual := callers.servedShare(onset.Add(-10*time.Second), onset)
				sent, share := callers.servedShare(crashes[min(len(crashes), crashesToLearn)-1].Add(2*contact), end)
				if sent < 20 || share < usual/2 {
					t.Errorf("%d sound requests later than %s after the crashes, %.0f %% of them served, %.0f %% before; want half as many at least", sent, 2*contact, 100*share, 100*usual)
				}
			})
		})
	}
}

// requirePartStopped checks that few requests with a part reached engines once the gateways
// had time to learn that it crashes them.
func (i *installation) requirePartStopped(part string) {
	i.t.Helper()
	crashes := i.crashes()
	if len(crashes) < crashesToLearn {
		return
	}
	late := 0
	for _, at := range i.runsWithPart(part) {
		if at.After(crashes[crashesToLearn-1].Add(contact)) {
			late++
		}
	}
	if late > maxSentAfterContact {
		i.t.Errorf("%d requests with part %s reached engines later than %s after crash %d, %d engines crashed; want %d at most", late, part, contact, crashesToLearn, len(crashes), maxSentAfterContact)
	}
}

// metric returns the value of a gauge or counter of a gateway.
func (i *installation) metric(gateway, name string) float64 {
	i.t.Helper()
	families, err := i.metrics[gateway].Gather()
	if err != nil {
		i.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			metric := family.GetMetric()[0]
			return metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	i.t.Fatalf("no metric %s", name)
	return 0
}

// Guards against an empty response that looks complete: the engine ended before the first
// event of a stream that ends with its connection.
func TestStreamThatEndsBeforeItsFirstEventIsBroken(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.setFaults("drafts", platformtest.EndpointFaults{CrashOnPart: poisonousPart, Unframed: true})
		call := i.chatCall(0)
		call.PromptParts = []string{poisonousPart}
		if response := i.do(call); response.Status != 502 {
			t.Errorf("response %+v, want status 502", response)
		}
	})
}

// Guards against a sound prompt part that is refused because engines fail for other reasons:
// they crash one after the other, all at once in a zone, or break off streams.
func TestOtherFaultsOfEnginesRejectNoPart(t *testing.T) {
	withInstallation(t, func(i *installation) {
		callers := &poisonCallers{installation: i, group: concurrency.NewGroup(context.Background())}
		for zone := range zoneCount {
			callers.send(zone, "sound", 150*time.Millisecond, func(index int) []string {
				return []string{"first", fmt.Sprint("subject-", index%20), fmt.Sprint("session-", zone, "-", index/4)}
			})
		}
		i.endpoints[engineName(2, 0)].SetFaults(platformtest.EndpointFaults{TruncateStreams: true})
		for round := range 15 {
			time.Sleep(2 * time.Second)
			zone := round % 2
			i.endpoints[engineName(zone, round/2%2)].Crash()
			if round%5 == 4 {
				i.endpoints[engineName(zone, 0)].Crash()
				i.endpoints[engineName(zone, 1)].Crash()
			}
		}
		callers.group.Stop()
		callers.group.Wait()
		confirmed := 0.0
		for zone := range zoneCount {
			confirmed += i.metric(gatewayName(zone), "mimosaward_gateway_confirmed_crashes_total")
			if rejected := i.metric(gatewayName(zone), "mimosaward_gateway_rejected_parts"); rejected != 0 {
				t.Errorf("%s rejects %v parts, want none", gatewayName(zone), rejected)
			}
		}
		if confirmed < 5 {
			t.Errorf("%v crashes confirmed, want several", confirmed)
		}
	})
}
