package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// addRoute adds a route to the plain service and returns the path of its requests.
func (i *installation) addRoute(name string) string {
	i.configure(func(state *platformtest.DesiredState) {
		state.Routes = append(slices.Clone(state.Routes), platformtest.Route{
			Name: name, Host: host, PathPrefix: "/" + name + "/", Kind: platformtest.Idempotent, Timeout: 2000, TargetLatency: 100, Service: "booking", MaxAttempts: 2,
		})
	})
	return "/" + name + "/1"
}

// restore takes the store away and returns it from a backup, after the outage.
func (i *installation) restore(backup platformtest.Backup, outage time.Duration) {
	i.store.SetFaults(platformtest.StoreFaults{Down: true})
	i.store.CloseWatches(false)
	time.Sleep(outage)
	i.store.Restore(backup)
	i.store.SetFaults(platformtest.StoreFaults{})
}

// requireServed sends a request on the path to the gateways and fails the test unless each
// serves it, or none does so if served is false.
func (i *installation) requireServed(what, path string, served bool, gateways ...int) {
	i.t.Helper()
	for _, zone := range gateways {
		want := fasthttp.StatusOK
		if !served {
			want = fasthttp.StatusNotFound
		}
		if response := i.do(i.call(zone, path)); response.Status != want {
			i.t.Errorf("%s: %s responded to %s with status %d, want %d", what, gatewayName(zone), path, response.Status, want)
		}
	}
}

// Guards against gateways that take the revisions of a store that returned from an older copy
// for old ones: they lost confirmed configurations or did not notice the next ones.
func TestConfigurationAfterStoreReturnsFromOlderCopy(t *testing.T) {
	// rewritten is when the operators write again what the store lost, changes the number of
	// writes that follow: the store's revision ends below, at and above that of the copies.
	for _, rewritten := range []time.Duration{0, 3 * time.Second} {
		for _, lost := range []int{1, 4} {
			t.Run(fmt.Sprintf("%d changes lost, written again after %v", lost, rewritten), func(t *testing.T) {
				withInstallation(t, func(i *installation) {
					all := []int{0, 1, 2}
					old := i.addRoute("old")
					time.Sleep(bounds.ConfigurationApply)
					backup := i.store.Backup()
					var confirmed []string
					for number := range lost {
						confirmed = append(confirmed, i.addRoute(fmt.Sprintf("lost%d", number)))
						time.Sleep(time.Second)
					}
					time.Sleep(bounds.ConfigurationApply)
					i.restore(backup, 2*time.Second)
					time.Sleep(rewritten)
					for _, path := range append(confirmed, old) {
						i.requireServed("before the rewrite", path, true, all...)
					}
					i.store.Configure(i.state)
					time.Sleep(bounds.ConfigurationApply)
					for number := range lost + 2 {
						path := i.addRoute(fmt.Sprintf("next%d", number))
						time.Sleep(bounds.ConfigurationApply)
						for _, confirmed := range append(confirmed, path) {
							i.requireServed("after the rewrite", confirmed, true, all...)
						}
					}
				})
			})
		}
	}
}

// Guards against a gateway that starts after the store returned from an older copy and uses
// what that still has, although the other gateways know what was confirmed since.
func TestGatewayStartsAfterStoreReturnsFromOlderCopy(t *testing.T) {
	withInstallation(t, func(i *installation) {
		backup := i.store.Backup()
		confirmed := i.addRoute("confirmed")
		i.store.Evacuate(zoneName(1))
		time.Sleep(bounds.ConfigurationApply)
		i.stopProcess(gatewayName(2))
		i.restore(backup, 2*time.Second)
		i.startGateway(2)
		before := i.endpoints["booking-1-0"].Arrivals()
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			response, err := platformtest.Do(i.network.ForProcess("caller").Dial, i.call(2, confirmed))
			if err == nil && response.Status != fasthttp.StatusOK && response.Status != fasthttp.StatusServiceUnavailable {
				t.Errorf("the new gateway responded with status %d, want %d or, before it knows the configuration, %d", response.Status, fasthttp.StatusOK, fasthttp.StatusServiceUnavailable)
				break
			}
		}
		i.requireServed("four seconds after the start", confirmed, true, 0, 1, 2)
		if after := i.endpoints["booking-1-0"].Arrivals(); after != before {
			t.Errorf("%d requests were sent to the availability zone that is out of service", after-before)
		}
	})
}

// Guards against requests to endpoints that had announced their stop, or were gone, before the
// store lost that.
func TestLeavingEndpointsAfterStoreReturnsFromOlderCopy(t *testing.T) {
	withInstallation(t, func(i *installation) {
		gone, draining, added := i.endpoints["booking-0-0"], i.endpoints["booking-1-0"], i.startBookingService(2, 1)
		added.Deregister()
		time.Sleep(time.Second)
		backup := i.store.Backup()
		added.Register("ready")
		gone.Register("draining")
		draining.Register("draining")
		time.Sleep(time.Second)
		gone.Deregister()
		time.Sleep(2 * time.Second)
		i.restore(backup, time.Second)
		arrived := map[string]int{}
		for _, endpoint := range []*platformtest.Endpoint{gone, draining, added} {
			arrived[endpoint.ID] = endpoint.Arrivals()
		}
		send := func(duration time.Duration) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				for zone := range zoneCount {
					i.do(i.call(zone, statusPath))
				}
			}
		}
		send(1200 * time.Millisecond)
		draining.Heartbeat()
		added.Heartbeat()
		send(4 * time.Second)
		for _, endpoint := range []*platformtest.Endpoint{gone, draining} {
			if received := endpoint.Arrivals() - arrived[endpoint.ID]; received > 0 {
				t.Errorf("%s, which had announced its stop, received %d requests", endpoint.ID, received)
			}
		}
		if added.Arrivals() == arrived[added.ID] {
			t.Errorf("%s, which was added, received no requests", added.ID)
		}
	})
}

// Guards against what the gateways themselves wrote and the store lost.
func TestGatewaysWriteAgainWhatStoreLost(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.stopProcess(gatewayName(1))
		time.Sleep(time.Second)
		i.store.Delete("gateways", gatewayName(1))
		backup := i.store.Backup()
		i.startGateway(1)
		time.Sleep(2 * time.Second)
		i.restore(backup, time.Second)
		time.Sleep(5 * time.Second)
		if names := i.store.Names("gateways"); !slices.Contains(names, gatewayName(1)) {
			t.Errorf("the store has the gateways %v, %s is missing", names, gatewayName(1))
		}
	})
}

// Guards against a loop of calls by a reader whose copy is at a revision that the store does
// not have.
func TestStoreCallsAfterStoreReturnsFromOlderCopy(t *testing.T) {
	withInstallation(t, func(i *installation) {
		backup := i.store.Backup()
		for number := range 5 {
			i.addRoute(fmt.Sprintf("lost%d", number))
		}
		time.Sleep(time.Second)
		i.restore(backup, time.Second)
		calls := func() (total int) {
			for zone := range zoneCount {
				total += i.store.Calls(gatewayName(zone))
			}
			return total
		}
		before := calls()
		time.Sleep(10 * time.Second)
		if made := calls() - before; made > 150 {
			t.Errorf("gateways made %d calls in ten seconds, want at most 150", made)
		}
	})
}
