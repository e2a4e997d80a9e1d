package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// sendSteadily sends chat completions to the gateways of all zones, one every interval, until the
// group stops.
func (i *installation) sendSteadily(group *concurrency.Group, interval time.Duration) {
	for zone := range zoneCount {
		template := i.chatCall(zone)
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
		i.sendSteadily(group, 50*time.Millisecond)
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
