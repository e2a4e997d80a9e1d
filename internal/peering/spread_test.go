package peering_test

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

// Bounds of the specification on what spreads between gateways.
const (
	// contactTime is the time after which a gateway whose instance is sound takes part.
	contactTime = 3 * time.Second
	// endedBound is the time after which a directory no longer names an ended gateway.
	endedBound = contactTime + 3*time.Second
	// configurationBound and drainBound are the times from the store's confirmation until
	// every gateway uses a configuration and sends nothing to an endpoint that leaves.
	configurationBound = 2 * time.Second
	drainBound         = 2 * time.Second
)

// forEachFleet runs a test with idle and loaded fleets of one and of several cells.
func forEachFleet(t *testing.T, test func(t *testing.T, f *runningFleet)) {
	for _, regions := range [][]int{smallFleet, largeFleet} {
		for _, loaded := range []bool{false, true} {
			count := 0
			for _, gateways := range regions {
				count += gateways
			}
			t.Run(fmt.Sprintf("%d gateways, loaded=%t", count, loaded), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, regions, loaded)
					defer f.stopAll()
					test(t, f)
				})
			})
		}
	}
}

// worst is the longest of several measured times.
type worst time.Duration

func (w *worst) add(measured time.Duration) { *w = max(*w, worst(measured)) }

// require fails the test if the longest time exceeds a bound.
func (w *worst) require(t *testing.T, what string, bound time.Duration) {
	t.Helper()
	t.Logf("%s: %v at most, bound %v", what, time.Duration(*w), bound)
	if time.Duration(*w) > bound {
		t.Errorf("%s takes up to %v, want at most %v", what, time.Duration(*w), bound)
	}
}

// sampled calls measure for up to three gateways, at different times within the intervals of
// the fleet.
func (f *runningFleet) sampled(measure func(g *fleetGateway)) {
	step := (len(f.gateways) + 2) / 3
	for index := 0; index < len(f.gateways); index += step {
		time.Sleep(time.Duration(500+37*index) * time.Millisecond)
		measure(f.gateways[index])
	}
}

// Callers that use a directory must not be sent to a gateway that is not ready or is about
// to stop, and must be sent to one that is ready again.
func TestReadinessSpreads(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		f.startAll()
		var notReady, ready, stopping, capacity worst
		f.sampled(func(changed *fleetGateway) {
			changed.notReady.Store(true)
			notReady.add(f.measure(func(g *fleetGateway) bool { return !g.lists(changed) }, changed))
			changed.notReady.Store(false)
			slots, changedAt := changed.slots.Add(1), time.Now()
			ready.add(f.measure(func(g *fleetGateway) bool { return g.lists(changed) }, changed))
			f.measure(func(g *fleetGateway) bool {
				peer := g.peer(changed)
				return len(peer.Digest.Capacities) > 0 && int64(peer.Digest.Capacities[0].Free) == slots
			}, changed)
			capacity.add(time.Since(changedAt))
			changed.stopping.Store(true)
			stopping.add(f.measure(func(g *fleetGateway) bool { return !g.lists(changed) }, changed))
			changed.stopping.Store(false)
		})
		notReady.require(t, "not ready", contactTime)
		ready.require(t, "ready", contactTime)
		stopping.require(t, "stopping", contactTime)
		capacity.require(t, "capacity", contactTime)
	})
}

// A directory must not name a gateway that ended. A gateway that starts again with a new
// incarnation, or has never run before, must be known everywhere and have the copies.
func TestEndAndRestartSpread(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		f.startAll()
		var ended, restarted, copied worst
		f.sampled(func(g *fleetGateway) {
			g.stop()
			ended.add(f.measure(func(other *fleetGateway) bool { return !other.lists(g) }))
			g.member.Incarnation++
			g.start()
			f.measure(func(*fleetGateway) bool { return g.hasCopies() })
			copied.add(time.Since(g.startedAt))
			f.measure(func(other *fleetGateway) bool { return other.lists(g) && g.lists(other) }, g)
			restarted.add(time.Since(g.startedAt))
		})
		ended.require(t, "end", endedBound)
		copied.require(t, "copies after a restart", contactTime)
		restarted.require(t, "restart", contactTime)
	})
}

// A gateway that joins a running fleet must become known to every other one: they must all
// compute the same cells, or endpoints belong to two cells or to none.
func TestLateGatewayIsKnown(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		late := f.gateways[len(f.gateways)-1]
		f.start(f.gateways[:len(f.gateways)-1])
		late.start()
		var copied, known worst
		f.measure(func(*fleetGateway) bool { return late.hasCopies() })
		copied.add(time.Since(late.startedAt))
		f.measure(func(g *fleetGateway) bool { return g.lists(late) && late.lists(g) }, late)
		known.add(time.Since(late.startedAt))
		copied.require(t, "copies of a late gateway", contactTime)
		known.require(t, "late gateway", contactTime)
	})
}

// Every gateway must use a configuration and know which endpoints leave within the bounds
// from the store's confirmation.
func TestCopiesSpread(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		f.startAll()
		var configuration, endpoints, removed worst
		for round := range 3 {
			time.Sleep(time.Duration(500+170*round) * time.Millisecond)
			revision := f.store.write(configurationKind, "main")
			configuration.add(f.measure(func(g *fleetGateway) bool { return g.hasObject(configurationKind, "main", revision) }))
			// The second change falls into the pause after the first.
			f.store.write(endpointKind, "other")
			time.Sleep(time.Millisecond)
			revision = f.store.write(endpointKind, "endpoint")
			endpoints.add(f.measure(func(g *fleetGateway) bool { return g.hasObject(endpointKind, "endpoint", revision) }))
			f.store.write(endpointKind, "endpoint")
			time.Sleep(time.Millisecond)
			f.store.remove(endpointKind, "other")
			removed.add(f.measure(func(g *fleetGateway) bool { return !g.hasObject(endpointKind, "other", 1) }))
		}
		configuration.require(t, "configuration", configurationBound)
		endpoints.require(t, "endpoints", drainBound)
		removed.require(t, "removed endpoint", drainBound)
	})
}

// Guards against gateways that take a store that returned from an older copy for an old one.
// What was confirmed before must stay in force on every gateway, also on one that starts after
// the return, and every gateway must use what is confirmed later within the bound.
func TestCopiesSpreadAfterStoreReturnsFromOlderCopy(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		late := f.gateways[len(f.gateways)-1]
		f.start(f.gateways[:len(f.gateways)-1])
		write := func(number int64) {
			f.store.put(configurationKind, "main", json.RawMessage(strconv.FormatInt(number, 10)))
		}
		uses := func(number int64) func(*fleetGateway) bool {
			return func(g *fleetGateway) bool { return g.hasWrite(configurationKind, "main", number) }
		}
		write(1)
		time.Sleep(configurationBound)
		saved := f.store.backup()
		write(2)
		f.store.write(endpointKind, "other")
		write(3)
		time.Sleep(configurationBound)
		f.store.restore(saved)
		late.start()
		var started, kept, next worst
		started.add(f.measure(uses(3)))
		time.Sleep(configurationBound)
		kept.add(f.measure(uses(3)))
		for number := int64(4); number < 8; number++ {
			write(number)
			next.add(f.measure(uses(number)))
		}
		started.require(t, "configuration of a gateway that starts after the return", contactTime)
		kept.require(t, "configuration that was confirmed before", 0)
		next.require(t, "next configuration", configurationBound)
	})
}
