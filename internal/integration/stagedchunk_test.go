package integration

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/loader"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// corruptionTolerance is how long a staged chunk may have been corrupt when an engine loads it.
const corruptionTolerance = 3 * time.Second

// checkLoadedIntact checks that no engine loaded a chunk that had been corrupt for longer.
func (i *installation) checkLoadedIntact() {
	i.t.Helper()
	for _, endpoint := range i.engines() {
		if age := endpoint.Engine.LoadedCorruptFor(); age > corruptionTolerance {
			i.t.Errorf("%s loaded a chunk that had been corrupt for %v", endpoint.ID, age)
		}
	}
}

// Guards against engines that load a chunk which became corrupt long before the order, after it was
// read back: a pass over all chunks may take longer than they may be corrupt.
func TestSlowlyReadChunksAreLoadedIntact(t *testing.T) {
	cases := map[string]platformtest.StagingFaults{
		"several at a time":               {ReadTime: 300 * time.Millisecond},
		"one at a time":                   {ReadTime: 300 * time.Millisecond, Serial: true},
		"one at a time, slow for a layer": {ReadTime: 700 * time.Millisecond, Serial: true},
	}
	for name, faults := range cases {
		for _, corruptAfter := range []int{1, 3, 7, 12} {
			t.Run(fmt.Sprintf("%s, corrupt after %d", name, corruptAfter), func(t *testing.T) {
				withInstallation(t, func(i *installation) {
					for _, endpoint := range i.engines() {
						var once sync.Once
						faults.OnRead = func(reads int) {
							if reads == corruptAfter {
								once.Do(func() { endpoint.Engine.CorruptStagedChunk(0) })
							}
						}
						endpoint.Engine.SetStagingFaults(faults)
					}
					i.store.RequestRollout(modelName, 2)
					time.Sleep(60 * time.Second)
					i.checkLoadedIntact()
					for _, endpoint := range i.engines() {
						if got := endpoint.Engine.Version(); got != 2 {
							t.Errorf("%s serves version %d, want 2", endpoint.ID, got)
						}
					}
				})
			})
		}
	}
}

// Guards against requests that run on weights whose load order the engine accepted late, when
// chunks had become corrupt that were intact before the order was sent.
func TestNoRequestRunsOnChunksThatMayBeCorrupt(t *testing.T) {
	for name, orderDelay := range map[string]time.Duration{
		// The loader gives up waiting for the response before that.
		"intact": corruptionTolerance - 400*time.Millisecond, "corrupt": corruptionTolerance + 50*time.Millisecond,
	} {
		corrupt := name == "corrupt"
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				for _, endpoint := range i.engines() {
					endpoint.Engine.SetStagingFaults(platformtest.StagingFaults{
						ReadTime: 150 * time.Millisecond, WriteTime: 500 * time.Millisecond, OrderDelay: orderDelay,
						OnDelayedOrder: func() {
							if corrupt {
								endpoint.Engine.CorruptStagedChunk(chunkCount - 1)
							}
						},
					})
				}
				i.store.RequestRollout(modelName, 2)
				time.Sleep(bounds.Rollout)
				i.chatFor(20 * time.Second)
				for _, endpoint := range i.engines() {
					if late := endpoint.Engine.LoadedCorruptFor() > corruptionTolerance; late != corrupt || endpoint.Engine.Version() != 2 {
						t.Errorf("%s serves version %d and loaded a chunk that had been corrupt for %v", endpoint.ID, endpoint.Engine.Version(), endpoint.Engine.LoadedCorruptFor())
					}
				}
				if runs := i.runsOnVersion(2); (runs == 0) != corrupt {
					t.Errorf("%d requests ran on version 2", runs)
				}
				i.store.RequestRollout(modelName, 3)
				i.chatFor(bounds.Rollout)
				if i.runsOnVersion(3) == 0 {
					t.Error("no request ran on version 3")
				}
			})
		})
	}
}

// Guards against an order that is sent although the machine was suspended after the chunks were read
// back, for longer than they may be corrupt.
func TestChunksAreReadAgainAfterSuspension(t *testing.T) {
	withInstallation(t, func(i *installation) {
		start := time.Now()
		var suspended atomic.Int64
		i.stopProcess("loader-" + engineName(0, 0))
		i.startLoaderWith(0, 0, func(l *loader.Loader) {
			l.BootTime = func() time.Duration { return time.Since(start) + time.Duration(suspended.Load()) }
		})
		engine := i.endpoints[engineName(0, 0)].Engine
		reads := 0
		engine.SetStagingFaults(platformtest.StagingFaults{OnRead: func(sinceWritten int) {
			if reads = sinceWritten; reads == chunkCount {
				suspended.Store(int64(corruptionTolerance))
			}
		}})
		i.store.RequestRollout(modelName, 2)
		time.Sleep(bounds.Rollout)
		if engine.Version() != 2 || reads != 2*chunkCount {
			t.Errorf("the engine serves version %d after %d chunks were read back, want version 2 after %d", engine.Version(), reads, 2*chunkCount)
		}
	})
}

// chatFor sends requests for the model in all zones for a time.
func (i *installation) chatFor(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		for zone := range zoneCount {
			i.do(i.chatCall(zone))
		}
	}
}

// runsOnVersion returns the number of requests that ran on a version of the model.
func (i *installation) runsOnVersion(version int64) int {
	runs := 0
	for _, endpoint := range i.engines() {
		for _, run := range endpoint.Executions() {
			if run.Version == version {
				runs++
			}
		}
	}
	return runs
}
