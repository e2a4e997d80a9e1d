package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/checkpoint"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// killGateways ends all gateways at once and starts them again after a time.
func (i *installation) killGateways(away time.Duration) {
	for zone := range zoneCount {
		// What is still being written is lost.
		i.network.Disconnect(gatewayName(zone), "store")
		i.processes[gatewayName(zone)].stop()
		i.network.CloseConnections(gatewayName(zone))
	}
	for zone := range zoneCount {
		<-i.processes[gatewayName(zone)].done
		delete(i.processes, gatewayName(zone))
	}
	time.Sleep(away)
	for zone := range zoneCount {
		i.network.Reconnect(gatewayName(zone), "store")
		i.startGateway(zone)
	}
}

// Guards against parts and requests that end endpoints again after all gateways were killed at once,
// because what the gateways had learned was in their memory only.
func TestRejectionsOutliveAllGateways(t *testing.T) {
	deadly := func(call *platformtest.Request) { call.PromptParts = []string{"first", poisonousPart, call.AttemptID} }
	type gatewaysCase struct {
		faults platformtest.EndpointFaults
		change func(call *platformtest.Request)
		// crashes is the number of crashes before the kill, and wait the time until then.
		crashes    int
		wait, away time.Duration
		// before runs before the gateways are killed.
		before func(i *installation, backup platformtest.Backup)
	}
	cases := map[string]gatewaysCase{
		"part, long known":            {crashes: crashesToLearn, wait: 6 * time.Second, away: 2 * time.Second},
		"part, right after the crash": {crashes: crashesToLearn, wait: 300 * time.Millisecond, away: 2 * time.Second},
		"part, away until a trial":    {crashes: crashesToLearn, wait: time.Second, away: 65 * time.Second},
		"part, store away before": {crashes: crashesToLearn, wait: time.Second, away: 2 * time.Second, before: func(i *installation, _ platformtest.Backup) {
			i.store.SetFaults(platformtest.StoreFaults{Down: true})
			time.Sleep(5 * time.Second)
			i.store.SetFaults(platformtest.StoreFaults{})
			time.Sleep(2 * time.Second)
		}},
		"part, store restored before": {crashes: crashesToLearn, wait: time.Second, away: 2 * time.Second, before: func(i *installation, backup platformtest.Backup) {
			i.restore(backup, time.Second)
			time.Sleep(3 * time.Second)
		}},
		"part, record of another writer before": {crashes: crashesToLearn, wait: time.Second, away: 2 * time.Second, before: func(i *installation, _ platformtest.Backup) {
			i.store.PutRaw(checkpoint.Kind, checkpoint.Name, []byte(`{"writtenUnixMilli":"yesterday"}`))
			time.Sleep(3 * time.Second)
		}},
		"request": {
			faults: platformtest.EndpointFaults{CrashOnBody: "deadly"}, crashes: 3, wait: time.Second, away: 2 * time.Second,
			change: func(call *platformtest.Request) { call.Body = "deadly" },
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				if test.change == nil {
					test.change, test.faults = deadly, platformtest.EndpointFaults{CrashOnPart: poisonousPart}
				}
				backup := i.store.Backup()
				i.setFaults("drafts", test.faults)
				sent := 0
				callers := &poisonCallers{installation: i, group: concurrency.NewGroup(context.Background())}
				send := func() {
					call := i.chatCall(sent % zoneCount)
					call.AttemptID = fmt.Sprint("deadly-", sent)
					test.change(&call)
					callers.do(call)
					sent++
				}
				for len(i.crashes()) < test.crashes && sent < 50 {
					send()
					time.Sleep(120 * time.Millisecond)
				}
				time.Sleep(test.wait)
				if test.before != nil {
					test.before(i, backup)
				}
				i.killGateways(test.away)
				time.Sleep(contact + 3*time.Second)
				inTouch, crashesBefore := time.Now(), len(i.crashes())
				for range 15 {
					for range zoneCount {
						send()
					}
					time.Sleep(2 * time.Second)
				}
				callers.group.Stop()
				callers.group.Wait()
				reached := 0
				for _, endpoint := range i.engines() {
					for _, run := range endpoint.Executions() {
						if run.StartedAt.After(inTouch) {
							reached++
						}
					}
				}
				if reached > maxSentAfterContact {
					t.Errorf("%d deadly requests reached engines, of which %d ended, after all gateways had restarted, want %d at most", reached, len(i.crashes())-crashesBefore, maxSentAfterContact)
				}
			})
		})
	}
}

// Guards against requests that begin on a replaced version after the bound, since no gateway ran when
// the new one was requested: it was taken to be as old as the return of the gateways.
func TestVersionRequestedWhileNoGatewayRuns(t *testing.T) {
	for name, test := range map[string]struct {
		// away is how long the gateways are away, and requestedAfter the time from their end until
		// the version is requested.
		away, requestedAfter time.Duration
		// loadersToo is true if all processes end.
		loadersToo bool
	}{
		"right after their end":                 {away: 2 * time.Second, requestedAfter: 20 * time.Millisecond},
		"right before their return":             {away: 2 * time.Second, requestedAfter: 1900 * time.Millisecond},
		"while loaders read the store":          {away: 5 * time.Second, requestedAfter: 500 * time.Millisecond},
		"while no process runs":                 {away: 2 * time.Second, requestedAfter: 20 * time.Millisecond, loadersToo: true},
		"while no process runs for a long time": {away: 20 * time.Second, requestedAfter: 20 * time.Millisecond, loadersToo: true},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				// No engine gets the new version.
				for _, endpoint := range i.engines() {
					i.network.Disconnect("loader-"+endpoint.ID, "origin")
				}
				time.Sleep(2 * time.Second)
				for zone := range zoneCount {
					i.processes[gatewayName(zone)].stop()
				}
				for zone := range zoneCount {
					i.stopProcess(gatewayName(zone))
				}
				if test.loadersToo {
					for _, endpoint := range i.engines() {
						i.stopProcess("loader-" + endpoint.ID)
					}
				}
				time.Sleep(test.requestedAfter)
				requestedAt := time.Now()
				i.store.RequestRollout(modelName, 2)
				time.Sleep(test.away - test.requestedAfter)
				for zone := range zoneCount {
					i.startGateway(zone)
				}
				if test.loadersToo {
					for zone := range zoneCount {
						i.startLoader(zone, 0)
						i.startLoader(zone, 1)
					}
				}
				time.Sleep(startupTime)
				for time.Since(requestedAt) < bounds.Rollout+5*time.Second {
					for zone := range zoneCount {
						i.do(i.chatCall(zone))
					}
					time.Sleep(50 * time.Millisecond)
				}
				late, early := 0, 0
				for _, endpoint := range i.engines() {
					for _, run := range endpoint.Executions() {
						switch began := run.BeganAt.Sub(requestedAt); {
						case began > bounds.Rollout:
							late++
						case began > 0:
							early++
						}
					}
				}
				if late > 0 {
					t.Errorf("%d requests began on version 1 later than %v after version 2 was requested", late, bounds.Rollout)
				}
				if served := startupTime+test.away-test.requestedAfter < bounds.Rollout-3*time.Second; served && early == 0 {
					t.Error("no request was served on version 1 before that")
				}
			})
		})
	}
}
