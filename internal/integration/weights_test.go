package integration

import (
	"testing"
	"time"
)

// requireVersion checks what every engine serves.
func (i *installation) requireVersion(when string, want int64) {
	i.t.Helper()
	for name, endpoint := range i.endpoints {
		if endpoint.Engine == nil {
			continue
		}
		if got := endpoint.Engine.Version(); got != want {
			i.t.Errorf("%s: %s serves version %d, want %d", when, name, got, want)
		}
		if endpoint.Engine.Spoilt() {
			i.t.Errorf("%s: %s loaded chunks that are not those of its version", when, name)
		}
	}
}

// A version that was named is served everywhere within its time, and nothing begins on
// the older one later. The origin sends about one copy.
func TestRollout(t *testing.T) {
	for name, disturb := range map[string]func(i *installation){
		"calm":            func(*installation) {},
		"gateways cut":    func(i *installation) { i.network.Disconnect(gatewayName(1), "store") },
		"staged damaged":  func(i *installation) { i.spoilStaged() },
		"a loader gone":   func(i *installation) { i.stop("loader-" + engineName(2, 1)) },
		"loader isolated": func(i *installation) { i.isolate("loader-" + engineName(1, 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(i *installation) {
				sent := i.origin.Sent()
				disturb(i)
				i.store.NameVersion(modelName, 2)
				time.Sleep(2 * time.Second)
				if name == "staged damaged" {
					i.spoilStaged()
				}
				time.Sleep(bounds.Rollout - 2*time.Second)
				named := time.Now()
				for index := range 12 {
					_ = i.do(i.draft(index % zones))
				}
				for name, endpoint := range i.endpoints {
					for _, run := range endpoint.Runs() {
						if run.At.After(named) && endpoint.Engine != nil && run.Version < 2 {
							t.Errorf("%s began on version %d after the bound", name, run.Version)
						}
					}
				}
				if name == "calm" {
					i.requireVersion("after the bound", 2)
					if copies := float64(i.origin.Sent()-sent) / chunks; copies > 1.5 {
						t.Errorf("the origin sent %.1f copies, want about one", copies)
					}
				}
				for _, endpoint := range i.endpoints {
					if endpoint.Engine != nil && endpoint.Engine.Spoilt() {
						t.Errorf("%s loaded chunks that are not those of its version", endpoint.ID)
					}
				}
			})
		})
	}
}

func (i *installation) spoilStaged() {
	for _, endpoint := range i.endpoints {
		if endpoint.Engine != nil {
			endpoint.Engine.DamageStaged(3)
		}
	}
}

// isolate cuts a process off from everything but its engine.
func (i *installation) isolate(name string) {
	for other := range i.processes {
		if other != name {
			i.network.Disconnect(name, other)
		}
	}
	i.network.Disconnect(name, "store", "origin")
}

// After a loss of power everywhere, engines hold nothing. They serve the wanted version
// again soon, though the entries of their earlier lives still say that they hold it.
func TestEnginesAreFilledAfterALossOfPower(t *testing.T) {
	inBubble(t, func(i *installation) {
		i.store.NameVersion(modelName, 2)
		time.Sleep(bounds.Rollout)
		i.requireVersion("before", 2)
		sent := i.origin.Sent()
		i.losePower()
		time.Sleep(4 * time.Second)
		i.requireVersion("four seconds after the loss of power", 2)
		if copies := float64(i.origin.Sent()-sent) / chunks; copies > 2 {
			t.Errorf("the origin sent %.1f copies, want about one", copies)
		}
		for zone := range zones {
			if answer := i.do(i.draft(zone)); answer.Status != 200 {
				t.Errorf("answer %+v", answer)
			}
		}
	})
}

// losePower ends every process and empties every engine; all start again at once.
func (i *installation) losePower() {
	for name, running := range i.processes {
		running.stop()
		i.network.CloseConnections(name)
	}
	for name, running := range i.processes {
		<-running.done
		delete(i.processes, name)
	}
	for _, endpoint := range i.endpoints {
		if endpoint.Engine != nil {
			i.network.CloseConnections(endpoint.ID)
			endpoint.Engine.Empty()
		}
	}
	for zone := range zones {
		i.startGateway(zone)
		i.startLoader(zone, 0)
		i.startLoader(zone, 1)
	}
	time.Sleep(500 * time.Millisecond)
	for _, endpoint := range i.endpoints {
		if endpoint.Engine != nil {
			endpoint.Restart()
		}
	}
}

// An engine that is added holds nothing; it gets the served version from its neighbours,
// not from the origin.
func TestNewEngineIsFilledByNeighbours(t *testing.T) {
	inBubble(t, func(i *installation) {
		sent := i.origin.Sent()
		i.startEngine(0, 2, 0)
		time.Sleep(4 * time.Second)
		i.requireVersion("after a new engine came", 1)
		if i.origin.Sent() != sent {
			t.Errorf("the origin sent %d chunks", i.origin.Sent()-sent)
		}
	})
}

// A loader whose engine is gone takes no part, so that nobody waits for it.
func TestLoaderWithoutAnEngineTakesNoPart(t *testing.T) {
	inBubble(t, func(i *installation) {
		gone := i.endpoints[engineName(0, 1)]
		gone.Deregister()
		i.network.Disconnect("loader-"+gone.ID, gone.ID)
		delete(i.endpoints, gone.ID)
		time.Sleep(settle)
		sent := i.origin.Sent()
		i.store.NameVersion(modelName, 2)
		time.Sleep(bounds.Rollout)
		i.requireVersion("after the bound", 2)
		if copies := float64(i.origin.Sent()-sent) / chunks; copies > 1.5 {
			t.Errorf("the origin sent %.1f copies, want about one", copies)
		}
	})
}

// Drafts go on while engines take turns to load: at no time are all of them out of work.
func TestRolloutUnderLoad(t *testing.T) {
	inBubble(t, func(i *installation) {
		i.store.NameVersion(modelName, 2)
		refused := 0
		const drafts = 40
		for index := range drafts {
			if answer := i.do(i.draft(index % zones)); answer.Status != 200 || !answer.Whole {
				refused++
			}
		}
		if refused > 0 {
			t.Errorf("%d of %d drafts were not answered", refused, drafts)
		}
		time.Sleep(bounds.Rollout)
		i.requireVersion("after the bound", 2)
	})
}
