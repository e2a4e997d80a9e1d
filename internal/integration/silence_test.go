package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// sendSteadily sends requests to the gateways of all zones, one every interval, until the group
// stops.
func (i *installation) sendSteadily(group *concurrency.Group, path string, interval time.Duration) {
	for zone := range zoneCount {
		template := i.call(zone, path)
		if path == "/draft/" {
			template = i.chatCall(zone)
		}
		template.Timeout = 9 * time.Second
		group.Go(func(ctx context.Context) {
			for index := 0; concurrency.Sleep(ctx, interval); index++ {
				call := template
				call.AttemptID = fmt.Sprintf("steady-%d-%d", zone, index)
				group.Go(func(context.Context) {
					// The endpoints record what the test needs.
					_, _ = platformtest.Do(i.network.ForProcess("caller").Dial, call)
				})
			}
		})
	}
}

// Guards against a request that begins on a replaced version after the rollout bound: the engine
// was silent when it received the request, and began it when it went on. The engines are silent
// when they should load the new version.
func TestSilentEnginesBeginNothingOnReplacedVersion(t *testing.T) {
	withInstallation(t, func(i *installation) {
		group := concurrency.NewGroup(context.Background())
		i.sendSteadily(group, "/draft/", 50*time.Millisecond)
		time.Sleep(time.Second)
		i.store.RequestRollout(modelName, 2)
		named := time.Now()
		time.Sleep(5 * time.Second)
		for _, endpoint := range i.endpoints {
			if endpoint.Engine != nil {
				endpoint.FallSilent(bounds.Rollout - 4800*time.Millisecond)
			}
		}
		time.Sleep(time.Until(named.Add(bounds.Rollout + 4*time.Second)))
		group.Stop()
		group.Wait()
		begun := 0
		for name, endpoint := range i.endpoints {
			for _, run := range endpoint.Executions() {
				if endpoint.Engine == nil || run.BeganAt.IsZero() {
					continue
				}
				begun++
				if late := run.BeganAt.Sub(named) - bounds.Rollout; late > 0 && run.Version < 2 {
					t.Errorf("%s began request %s on version %d, %s after the time limit", name, run.AttemptID, run.Version, late)
				}
			}
		}
		if begun == 0 {
			t.Error("no request began")
		}
	})
}

// Guards against a request that reaches an endpoint after its drain time, or after the evacuation
// of its availability zone took effect: the endpoint was silent when it received the request, and
// read it when it went on.
func TestSilentEndpointsReceiveNothingOnceTheyMustNot(t *testing.T) {
	for name, c := range map[string]struct {
		path     string
		endpoint string
		bound    time.Duration
		begin    func(i *installation, endpoint *platformtest.Endpoint)
	}{
		"draining service":  {"/status/", "booking-0-0", bounds.Drain, func(_ *installation, e *platformtest.Endpoint) { e.Register("draining") }},
		"draining engine":   {"/draft/", engineName(0, 0), bounds.Drain, func(_ *installation, e *platformtest.Endpoint) { e.Register("draining") }},
		"removed service":   {"/status/", "booking-0-0", bounds.Drain, func(_ *installation, e *platformtest.Endpoint) { e.Deregister() }},
		"evacuated service": {"/status/", "booking-0-0", bounds.ZoneEvacuation, func(i *installation, _ *platformtest.Endpoint) { i.store.Evacuate(zoneName(0)) }},
		"evacuated engine":  {"/draft/", engineName(0, 0), bounds.ZoneEvacuation, func(i *installation, _ *platformtest.Endpoint) { i.store.Evacuate(zoneName(0)) }},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.configure(func(state *platformtest.DesiredState) {
					for index := range state.Routes {
						state.Routes[index].Timeout = 9000
					}
				})
				group := concurrency.NewGroup(context.Background())
				i.sendSteadily(group, c.path, 20*time.Millisecond)
				time.Sleep(3 * time.Second)
				endpoint := i.endpoints[c.endpoint]
				endpoint.FallSilent(c.bound + time.Second)
				time.Sleep(200 * time.Millisecond)
				begun := time.Now()
				c.begin(i, endpoint)
				time.Sleep(c.bound + 3*time.Second)
				group.Stop()
				group.Wait()
				for _, arrival := range endpoint.ArrivalLog() {
					if late := arrival.At.Sub(begun) - c.bound; late > 0 {
						t.Errorf("request %s reached %s %s after the time limit", arrival.AttemptID, c.endpoint, late)
					}
				}
				if last := endpoint.ArrivalLog(); len(last) == 0 {
					t.Error("no request reached the endpoint")
				}
			})
		})
	}
}
