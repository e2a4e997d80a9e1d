package integration

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// gatewaysOfCells are the gateways of each zone in an installation with cells: one cell in
// each of the first two zones and two in the last.
var gatewaysOfCells = [zoneCount]int{3, 6, 12}

// enginesOfLender is the number of engines of the second zone, whose cell lends them: a cell
// with fewer engines than gateways lends none. The other zones have enginesOfBorrower.
const (
	enginesOfLender   = 6
	enginesOfBorrower = 2
)

// withCells runs a test in an installation whose gateways form cells.
func withCells(t *testing.T, test func(i *installation)) {
	t.Helper()
	withFleet(t, gatewaysOfCells, test)
}

// withFleet runs a test in an installation with a number of gateways in each zone.
func withFleet(t *testing.T, gateways [zoneCount]int, test func(i *installation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		i := newInstallation(t)
		for index := enginesOfBorrower; index < enginesOfLender; index++ {
			i.startEngine(1, index, 1)
		}
		for zone, count := range gateways {
			for index := range count {
				i.startGatewayAt(zone, index)
			}
		}
		time.Sleep(2 * startupTime)
		test(i)
		i.close()
	})
}

// gatewaysOutside returns the names of the gateways of the other zones.
func gatewaysOutside(zone int) []string {
	var names []string
	for other, count := range gatewaysOfCells {
		for index := range count {
			if other != zone {
				names = append(names, nameOfGateway(other, index))
			}
		}
	}
	return names
}

// gauge returns the sum of a gauge over all its labels.
func (i *installation) gauge(gateway, name string) float64 {
	families, err := i.metrics[gateway].Gather()
	if err != nil {
		i.t.Fatal(err)
	}
	sum := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetGauge().GetValue()
		}
	}
	return sum
}

// Guards against the end of a gateway with all its requests when a caller leaves while the
// gateway asks another cell for an engine.
func TestCallerLeavesWhileGatewayAsksAnotherCell(t *testing.T) {
	withCells(t, func(i *installation) {
		i.configure(func(state *platformtest.DesiredState) {
			for index := range state.Routes {
				state.Routes[index].TargetLatency = 2000
			}
		})
		time.Sleep(bounds.ConfigurationApply)
		callers := concurrency.NewGroup(context.Background())
		// Prompts that every engine of the zone reads for a third of a second make an engine of
		// another cell the faster one, while the late target lets the zone's own take any job. The
		// gateway itself sends them, so it knows of them.
		for range enginesOfBorrower {
			call := i.chatCall(0)
			call.PromptTokens, call.OutputTokens = 7_000, 5
			callers.Go(func(context.Context) {
				if response := i.do(call); !response.Complete {
					t.Errorf("a request that was being served got %+v, want a complete response", response)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		i.network.Freeze(gatewayName(0), gatewaysOutside(0)...)
		for range 3 {
			call := i.chatCall(0)
			call.DisconnectAfter = 30 * time.Millisecond
			callers.Go(func(context.Context) { _, _ = platformtest.Do(i.network.ForProcess("caller").Dial, call) })
		}
		time.Sleep(150 * time.Millisecond)
		i.network.Unfreeze(gatewayName(0), gatewaysOutside(0)...)
		callers.Wait()
		time.Sleep(time.Second)
		if response := i.do(i.chatCall(0)); response.Status != 200 || !response.Complete {
			t.Errorf("the gateway answered the next request with %+v, want a complete response", response)
		}
		time.Sleep(time.Second)
		for zone, count := range gatewaysOfCells {
			for index := range count {
				if running := i.gauge(nameOfGateway(zone, index), "mimosaward_endpoint_running"); running != 0 {
					t.Errorf("%s counts %v running requests after all have ended", nameOfGateway(zone, index), running)
				}
			}
		}
	})
}
