package integration

import (
	"testing"
	"time"
)

// checkVersion checks that every engine serves the version, from intact chunks.
func (i *installation) checkVersion(when string, want int64) {
	i.t.Helper()
	for name, endpoint := range i.endpoints {
		if endpoint.Engine == nil {
			continue
		}
		if got := endpoint.Engine.Version(); got != want {
			i.t.Errorf("%s: %s serves version %d, want %d", when, name, got, want)
		}
		if endpoint.Engine.LoadedWrongChunks() {
			i.t.Errorf("%s: %s loaded chunks that do not belong to its version", when, name)
		}
	}
}

// All engines serve a new version within the rollout limit, and no request starts on the
// older version after that. The origin sends about one copy.
func TestRollout(t *testing.T) {
	for name, injectFault := range map[string]func(i *installation){
		"no fault":                func(*installation) {},
		"gateway disconnected":    func(i *installation) { i.network.Disconnect(gatewayName(1), "store") },
		"staged chunks corrupted": func(i *installation) { i.corruptStaged() },
		"loader stopped":          func(i *installation) { i.stopProcess("loader-" + engineName(2, 1)) },
		"loader isolated":         func(i *installation) { i.isolate("loader-" + engineName(1, 1)) },
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				sentBefore := i.origin.ChunksSent()
				injectFault(i)
				i.store.RequestRollout(modelName, 2)
				time.Sleep(2 * time.Second)
				if name == "staged chunks corrupted" {
					i.corruptStaged()
				}
				time.Sleep(bounds.Rollout - 2*time.Second)
				deadline := time.Now()
				for index := range 12 {
					_ = i.do(i.chatCall(index % zoneCount))
				}
				for name, endpoint := range i.endpoints {
					for _, run := range endpoint.Executions() {
						if run.StartedAt.After(deadline) && endpoint.Engine != nil && run.Version < 2 {
							t.Errorf("%s ran a request on version %d after the time limit", name, run.Version)
						}
					}
				}
				if name == "no fault" {
					i.checkVersion("after the time limit", 2)
					if copies := float64(i.origin.ChunksSent()-sentBefore) / chunkCount; copies > 1.5 {
						t.Errorf("the origin sent %.1f copies, want about one", copies)
					}
				}
				for _, endpoint := range i.endpoints {
					if endpoint.Engine != nil && endpoint.Engine.LoadedWrongChunks() {
						t.Errorf("%s loaded chunks that do not belong to its version", endpoint.ID)
					}
				}
			})
		})
	}
}

func (i *installation) corruptStaged() {
	for _, endpoint := range i.endpoints {
		if endpoint.Engine != nil {
			endpoint.Engine.CorruptStagedChunk(3)
		}
	}
}

// isolate disconnects a process from all others except its engine.
func (i *installation) isolate(name string) {
	for other := range i.processes {
		if other != name {
			i.network.Disconnect(name, other)
		}
	}
	i.network.Disconnect(name, "store", "origin")
}

// After a power loss in all zones, the engines have no weights. They reload the wanted
// version soon, although their registrations from before still report it as loaded.
func TestEnginesReloadAfterPowerLoss(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.store.RequestRollout(modelName, 2)
		time.Sleep(bounds.Rollout)
		i.checkVersion("before", 2)
		sentBefore := i.origin.ChunksSent()
		i.simulatePowerLoss()
		time.Sleep(4 * time.Second)
		i.checkVersion("four seconds after the power loss", 2)
		if copies := float64(i.origin.ChunksSent()-sentBefore) / chunkCount; copies > 2 {
			t.Errorf("the origin sent %.1f copies, want about one", copies)
		}
		for zone := range zoneCount {
			if response := i.do(i.chatCall(zone)); response.Status != 200 {
				t.Errorf("response %+v, want status 200", response)
			}
		}
	})
}

// simulatePowerLoss stops all processes, unloads all engines and restarts both immediately.
func (i *installation) simulatePowerLoss() {
	for name, proc := range i.processes {
		proc.stop()
		i.network.CloseConnections(name)
	}
	for name, proc := range i.processes {
		<-proc.done
		delete(i.processes, name)
	}
	for _, endpoint := range i.endpoints {
		if endpoint.Engine != nil {
			i.network.CloseConnections(endpoint.ID)
			endpoint.Engine.Reset()
		}
	}
	for zone := range zoneCount {
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

// Guards against engines that keep a replaced version while no gateway runs: their loaders read
// the wanted version from the object store.
func TestRolloutWithoutGateways(t *testing.T) {
	withInstallation(t, func(i *installation) {
		for zone := range zoneCount {
			i.stopProcess(gatewayName(zone))
		}
		i.store.RequestRollout(modelName, 2)
		// Loaders wait 3 s for a gateway before they read the store.
		time.Sleep(3*time.Second + bounds.Rollout)
		i.checkVersion("after the time limit", 2)
	})
}

// A new engine has no weights. It loads the current version from its peers, not from the
// origin.
func TestNewEngineLoadsFromPeers(t *testing.T) {
	withInstallation(t, func(i *installation) {
		sentBefore := i.origin.ChunksSent()
		i.startEngine(0, 2, 0)
		time.Sleep(4 * time.Second)
		i.checkVersion("after a new engine was added", 1)
		if i.origin.ChunksSent() != sentBefore {
			t.Errorf("the origin sent %d chunks, want none", i.origin.ChunksSent()-sentBefore)
		}
	})
}

// A loader without an engine takes no part in a rollout, so that no other loader waits for
// it.
func TestLoaderWithoutEngineIsSkipped(t *testing.T) {
	withInstallation(t, func(i *installation) {
		removed := i.endpoints[engineName(0, 1)]
		removed.Deregister()
		i.network.Disconnect("loader-"+removed.ID, removed.ID)
		delete(i.endpoints, removed.ID)
		time.Sleep(startupTime)
		sentBefore := i.origin.ChunksSent()
		i.store.RequestRollout(modelName, 2)
		time.Sleep(bounds.Rollout)
		i.checkVersion("after the time limit", 2)
		if copies := float64(i.origin.ChunksSent()-sentBefore) / chunkCount; copies > 1.5 {
			t.Errorf("the origin sent %.1f copies, want about one", copies)
		}
	})
}

// Chat completions continue during a rollout, because the engines load one after the
// other: at no time are all of them unavailable.
func TestRolloutUnderLoad(t *testing.T) {
	withInstallation(t, func(i *installation) {
		i.store.RequestRollout(modelName, 2)
		failed := 0
		const requests = 40
		for index := range requests {
			if response := i.do(i.chatCall(index % zoneCount)); response.Status != 200 || !response.Complete {
				failed++
			}
		}
		if failed > 0 {
			t.Errorf("%d of %d chat completions failed", failed, requests)
		}
		time.Sleep(bounds.Rollout)
		i.checkVersion("after the time limit", 2)
	})
}
