package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Guards against sound requests that are refused for as long as requests with a poisonous part
// come: both have the same first part, and too few sound ones come to be answered between the
// crashes and the decision.
func TestQuietFirstPartIsServedBesidePoisonousPart(t *testing.T) {
	const quiet = "quiet"
	for name, soundAt := range map[string]func(index int) int{
		"sound requests at all gateways": func(index int) int { return index % zoneCount },
		"sound requests at one gateway":  func(int) int { return 2 },
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				others := &poisonCallers{installation: i, group: concurrency.NewGroup(context.Background())}
				for zone := range zoneCount {
					others.send(zone, "other", 450*time.Millisecond, func(index int) []string {
						return []string{fmt.Sprint("first-", index%8), fmt.Sprint("subject-", index%40), "session"}
					})
				}
				callers := &poisonCallers{installation: i, group: concurrency.NewGroup(context.Background())}
				callers.group.Go(func(ctx context.Context) {
					for index := 0; concurrency.Sleep(ctx, 2400*time.Millisecond); index++ {
						callers.sendOnce(soundAt(index), fmt.Sprint("sound-", index), []string{quiet, fmt.Sprint("text-", index%5), "session"})
					}
				})
				time.Sleep(51 * time.Second)
				onset := time.Now()
				i.setFaults("drafts", platformtest.EndpointFaults{CrashOnPart: poisonousPart})
				for number := range 3 {
					callers.sendOnce(number%zoneCount, fmt.Sprint("poisonous-", number), []string{quiet, poisonousPart, fmt.Sprint("session-", number)})
					time.Sleep(150 * time.Millisecond)
				}
				callers.group.Go(func(ctx context.Context) {
					for index := 3; concurrency.Sleep(ctx, 4800*time.Millisecond); index++ {
						callers.sendOnce(index%zoneCount, fmt.Sprint("poisonous-", index), []string{quiet, poisonousPart, fmt.Sprint("session-", index)})
					}
				})
				time.Sleep(59 * time.Second)
				end := time.Now()
				callers.group.Stop()
				callers.group.Wait()
				others.group.Stop()
				others.group.Wait()
				i.requirePartStopped(poisonousPart)
				crashes := i.crashes()
				if len(crashes) < 3 {
					t.Fatalf("%d engines crashed, want at least three", len(crashes))
				}
				_, usual := callers.servedShare(onset.Add(-51*time.Second), onset)
				from := crashes[min(len(crashes), crashesToLearn)-1].Add(2 * contact)
				count, share := callers.servedShare(from, end)
				if count < 20 || share < usual/2 {
					t.Errorf("%d sound requests later than %s after the crashes, %.0f %% of them served, %.0f %% before; want half as many at least", count, 2*contact, 100*share, 100*usual)
				}
			})
		})
	}
}
