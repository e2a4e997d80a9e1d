package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// addRoute adds a route, so that requests show whether a gateway applies the change.
func addRoute(state *platformtest.DesiredState) {
	route := state.Routes[0]
	route.Name, route.PathPrefix = "new", "/new/"
	state.Routes = append(state.Routes, route)
}

// checkRoute checks that every gateway applies the route of addRoute if inForce is set, and
// that none does otherwise.
func (i *installation) checkRoute(when string, inForce bool) {
	i.t.Helper()
	want := 200
	if !inForce {
		want = 404
	}
	for zone := range zoneCount {
		if response := i.do(i.call(zone, "/new/1")); response.Status != want {
			i.t.Errorf("%s: gateway %d responds with status %d, want %d", when, zone, response.Status, want)
		}
	}
}

func TestConfigurationPropagation(t *testing.T) {
	for name, injectFault := range map[string]func(i *installation){
		"no fault": func(*installation) {},
		"slow":     func(i *installation) { i.store.SetFaults(platformtest.StoreFaults{Delay: 200 * time.Millisecond}) },
		"refused": func(i *installation) {
			i.store.SetFaults(platformtest.StoreFaults{RejectedClients: []string{gatewayName(1)}})
		},
		"disconnected": func(i *installation) { i.network.Disconnect(gatewayName(1), "store") },
		"frozen":       func(i *installation) { i.network.Freeze(gatewayName(1), "store") },
		"history lost": func(i *installation) {
			i.store.SetFaults(platformtest.StoreFaults{SuppressEvents: true})
			time.Sleep(500 * time.Millisecond)
			i.store.CloseWatches(true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.checkRoute("before", false)
				injectFault(i)
				i.configure(addRoute)
				if name == "history lost" {
					time.Sleep(time.Second)
					i.store.CloseWatches(true)
					i.store.SetFaults(platformtest.StoreFaults{})
				}
				time.Sleep(bounds.ConfigurationApply)
				i.checkRoute("after the time limit", true)
				i.network.Unfreeze(gatewayName(1), "store")
				i.store.SetFaults(platformtest.StoreFaults{})
			})
		})
	}
}

// Gateways continue to serve during an outage of the object store, and apply changes soon
// after it. A gateway that restarts meanwhile copies the state from its peers.
func TestStoreOutage(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.configure(addRoute)
		time.Sleep(bounds.ConfigurationApply)
		i.store.SetFaults(platformtest.StoreFaults{Down: true})
		time.Sleep(startupTime)
		i.checkRoute("during the outage", true)
		i.stopProcess(gatewayName(2))
		i.startGateway(2)
		time.Sleep(startupTime)
		i.checkRoute("after a restart during the outage", true)
		i.configure(func(state *platformtest.DesiredState) { state.Routes = state.Routes[:len(state.Routes)-1] })
		i.checkRoute("while the store is still unavailable", true)
		i.store.SetFaults(platformtest.StoreFaults{})
		time.Sleep(bounds.ConfigurationApply)
		i.checkRoute("after the outage", false)
	})
}

// Objects that cannot be decoded are ignored and do not affect other objects.
func TestUnreadableObjects(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.store.PutRaw("servers", "torn", []byte(`{"service":"booking","address":`+"\"10.9.9.9:1\""+`}`))
		i.store.PutRaw("servers", "foreign", []byte(`{"service":7}`))
		i.store.PutRaw("servers", "odd", []byte(`{"service":"booking","address":"10.9.9.9:1","zone":"zone-0","slots":6,"state":"resting"}`))
		i.store.PutRaw("versions", "odd", []byte(`[]`))
		time.Sleep(time.Second)
		for range 6 {
			call := i.call(0, "/book/1")
			if response := i.do(call); response.Status != 200 {
				t.Errorf("response %+v, want status 200", response)
			}
		}
		i.store.PutRaw("config", "main", []byte(`{"version":"none"}`))
		time.Sleep(time.Second)
		if response := i.do(i.call(0, "/status/1")); response.Status != 200 {
			t.Errorf("after a configuration that cannot be decoded: %+v", response)
		}
	})
}

// No gateway sends requests to a zone that is out of service, including gateways that are
// disconnected from the object store.
func TestEvacuatedZoneReceivesNoRequests(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.network.Disconnect(gatewayName(2), "store")
		i.store.Evacuate(zoneName(0))
		time.Sleep(bounds.ZoneEvacuation)
		before := i.requestsInZone(zoneName(0))
		for index := range 12 {
			_ = i.do(i.call(index%zoneCount, "/book/1"))
			_ = i.do(i.chatCall(index % zoneCount))
		}
		if after := i.requestsInZone(zoneName(0)); after != before {
			t.Errorf("%d requests reached a zone that is out of service", after-before)
		}
		i.store.EndEvacuation(zoneName(0))
		time.Sleep(startupTime)
		for index := range 12 {
			_ = i.do(i.call(index%zoneCount, "/book/1"))
		}
		if i.requestsInZone(zoneName(0)) == before {
			t.Error("no request reached the zone after it was back in service")
		}
	})
}

// requestsInZone returns the number of requests that reached the endpoints of a zone.
func (i *installation) requestsInZone(zone string) int {
	count := 0
	for _, endpoint := range i.endpoints {
		if endpoint.Zone == zone {
			count += endpoint.Arrivals()
		}
	}
	return count
}

// An endpoint that is draining or deregistered receives no new requests after the drain
// limit.
func TestDrainingEndpointReceivesNoRequests(t *testing.T) {
	for name, leave := range map[string]func(endpoint *platformtest.Endpoint){
		"draining":     func(endpoint *platformtest.Endpoint) { endpoint.Register("draining") },
		"deregistered": func(endpoint *platformtest.Endpoint) { endpoint.Deregister() },
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				draining := i.endpoints["booking-0-0"]
				leave(draining)
				time.Sleep(bounds.Drain)
				before := draining.Arrivals()
				for index := range 12 {
					if response := i.do(i.call(index%zoneCount, "/book/1")); response.Status != 200 {
						t.Errorf("response %+v, want status 200", response)
					}
				}
				if after := draining.Arrivals(); after != before {
					t.Errorf("%d requests reached the draining endpoint", after-before)
				}
			})
		})
	}
}

// Removed API keys are refused, and new ones are accepted.
func TestAPIKeyRotation(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.configure(func(state *platformtest.DesiredState) { state.Workspaces[0].APIKeys = []string{"new key"} })
		time.Sleep(bounds.ConfigurationApply)
		call := i.call(0, "/status/1")
		if response := i.do(call); response.Status != 401 {
			t.Errorf("old API key: status %d, want 401", response.Status)
		}
		call = i.call(0, "/status/1")
		call.APIKey = "new key"
		if response := i.do(call); response.Status != 200 {
			t.Errorf("new API key: status %d, want 200", response.Status)
		}
	})
}

// A stopping gateway finishes the requests in flight, and the directory does not return it.
func TestGracefulStop(t *testing.T) {
	withInstallation(t, func(i *installation) {
		responses := make(chan platformtest.Response, 4)
		for range cap(responses) {
			call := i.chatCall(0)
			i.fakeGroup.Go(func(context.Context) { responses <- i.do(call) })
		}
		time.Sleep(100 * time.Millisecond)
		proc := i.processes[gatewayName(0)]
		proc.stop()
		time.Sleep(500 * time.Millisecond)
		if i.ready(0) || strings.Contains(i.resolve(1, regionName(0)), gatewayAddress(0)) {
			t.Error("a stopping gateway is ready or in the directory")
		}
		response := i.do(i.call(0, "/book/1"))
		if response.Status != 200 || !response.ConnectionClose {
			t.Errorf("request to a stopping gateway: %+v, want a response that closes the connection", response)
		}
		for range cap(responses) {
			if response := <-responses; !response.Complete || response.Status != 200 {
				t.Errorf("response %+v, want a complete one with status 200", response)
			}
		}
		<-proc.done
		delete(i.processes, gatewayName(0))
	})
}
