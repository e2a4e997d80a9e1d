package integration

import (
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// contactTime is the time after an outage of the store from which all bounds hold again.
const contactTime = 3 * time.Second

const (
	revokedKey = "revoked-key"
	addedKey   = "added-key"
)

// setKey gives the workspace one key beside its first, in place of any other.
func (i *installation) setKey(key string) {
	i.configure(func(state *platformtest.DesiredState) {
		state.Workspaces = []platformtest.Workspace{{Name: "aso", APIKeys: []string{apiKey, key}}}
	})
}

// touchAllKinds changes an object of each kind that operators and endpoints write, so that
// whoever watches these kinds begins new watches soon afterwards.
func (i *installation) touchAllKinds() {
	i.setKey(revokedKey)
	i.store.Evacuate(zoneName(2))
	i.store.EndEvacuation(zoneName(2))
	i.store.RequestRollout(modelName, 1)
	i.endpoints["booking-2-0"].Heartbeat()
}

// statusWithKey returns the status of a gateway's response to a request with a key.
func (i *installation) statusWithKey(zone int, key string) int {
	call := i.call(zone, statusPath)
	call.APIKey = key
	return i.do(call).Status
}

// requireChangesInForce changes what the store holds of every kind and fails the test unless the
// gateways use it contactTime after the end of an outage, or at the bound of the kind if that is
// later.
func (i *installation) requireChangesInForce(outageEnd time.Time, gateways ...int) {
	i.t.Helper()
	draining, evacuated := i.endpoints["booking-0-0"], i.endpoints["booking-1-0"]
	i.setKey(addedKey)
	path := i.addRoute("added")
	draining.Register("draining")
	i.store.Evacuate(zoneName(1))
	i.origin.NewestVersion = 2
	i.store.RequestRollout(modelName, 2)
	changed := time.Now()
	time.Sleep(time.Until(outageEnd.Add(contactTime)))
	time.Sleep(time.Until(changed.Add(bounds.ConfigurationApply)))
	i.requireServed("a route that was added", path, true, gateways...)
	arrived := draining.Arrivals()
	for _, zone := range gateways {
		if status := i.statusWithKey(zone, addedKey); status != fasthttp.StatusOK {
			i.t.Errorf("%s responded to a key that was added with status %d", gatewayName(zone), status)
		}
		if status := i.statusWithKey(zone, revokedKey); status != fasthttp.StatusUnauthorized {
			i.t.Errorf("%s responded to a key that was revoked with status %d", gatewayName(zone), status)
		}
	}
	send := func() {
		for range 5 {
			for _, zone := range gateways {
				i.do(i.call(zone, statusPath))
			}
		}
	}
	send()
	if received := draining.Arrivals() - arrived; received > 0 {
		i.t.Errorf("%s, which is draining, received %d requests", draining.ID, received)
	}
	time.Sleep(time.Until(changed.Add(bounds.ZoneEvacuation)))
	arrived = evacuated.Arrivals()
	send()
	if received := evacuated.Arrivals() - arrived; received > 0 {
		i.t.Errorf("%s, in an availability zone that is out of service, received %d requests", evacuated.ID, received)
	}
	time.Sleep(time.Until(changed.Add(bounds.Rollout)))
	for _, zone := range gateways {
		call := i.chatCall(zone)
		i.do(call)
		runs, _ := i.runsOfAttempt(call.AttemptID)
		if len(runs) == 0 || runs[len(runs)-1].Version != 2 {
			i.t.Errorf("%s: a request ran as %+v, want a run on version 2", gatewayName(zone), runs)
		}
	}
}

// outages are durations of an outage that begins after a change. They end at different moments of
// the calls with which gateways try to reach the store.
var outages = []time.Duration{300 * time.Millisecond, time.Second, 1900 * time.Millisecond, 2900 * time.Millisecond, 4300 * time.Millisecond, 6300 * time.Millisecond, 9300 * time.Millisecond}

// Guards against watches that a store which fell silent has accepted and never answers: their
// connections stay alive, and what the store confirmed after the outage was not noticed for 33 s.
func TestChangesAreNoticedAfterStoreFellSilent(t *testing.T) {
	for _, outage := range outages {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.touchAllKinds()
				time.Sleep(30 * time.Millisecond)
				i.store.SetFaults(platformtest.StoreFaults{Silent: true})
				time.Sleep(outage)
				i.store.SetFaults(platformtest.StoreFaults{})
				i.requireChangesInForce(time.Now(), 0, 1, 2)
			})
		})
	}
}

// The same for a gateway that starts while the store is silent.
func TestChangesAreNoticedByGatewayStartedWhileStoreIsSilent(t *testing.T) {
	for _, outage := range outages {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.stopProcess(gatewayName(1))
				i.touchAllKinds()
				time.Sleep(30 * time.Millisecond)
				i.store.SetFaults(platformtest.StoreFaults{Silent: true})
				i.startGateway(1)
				time.Sleep(outage)
				i.store.SetFaults(platformtest.StoreFaults{})
				i.requireChangesInForce(time.Now(), 0, 1, 2)
			})
		})
	}
}

// The same while all gateways start, none of which knows anything.
func TestChangesAreNoticedByGatewaysThatAllStartWhileStoreIsSilent(t *testing.T) {
	for _, outage := range outages {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.setKey(revokedKey)
				for zone := range zoneCount {
					i.stopProcess(gatewayName(zone))
				}
				i.store.SetFaults(platformtest.StoreFaults{Silent: true})
				for zone := range zoneCount {
					i.startGateway(zone)
				}
				time.Sleep(outage)
				i.store.SetFaults(platformtest.StoreFaults{})
				i.requireChangesInForce(time.Now(), 0, 1, 2)
			})
		})
	}
}

// The same if the store is silent to one gateway only, which must also learn from the others.
func TestChangesAreNoticedByGatewayToWhichStoreFellSilent(t *testing.T) {
	for _, outage := range outages {
		t.Run(fmt.Sprint(outage), func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.touchAllKinds()
				time.Sleep(30 * time.Millisecond)
				i.store.SetFaults(platformtest.StoreFaults{Silent: true, SilencedClients: []string{gatewayName(1)}})
				path := i.addRoute("during")
				time.Sleep(outage)
				i.store.SetFaults(platformtest.StoreFaults{})
				time.Sleep(max(0, bounds.ConfigurationApply-outage))
				i.requireServed("a route that was added during the outage", path, true, 0, 1, 2)
				i.requireChangesInForce(time.Now(), 0, 1, 2)
			})
		})
	}
}
