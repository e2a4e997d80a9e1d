package bench

import (
	"fmt"
	"testing"
	"testing/synctest"
)

func measureBurst(t *testing.T, c burstCase) burstMeasurement {
	t.Helper()
	var measurement burstMeasurement
	synctest.Test(t, func(t *testing.T) {
		measurement = newBurstBench(t, c).run(t)
	})
	printMeasurement(t, measurement)
	return measurement
}

// checkBurst checks a burst against the required bounds: every surviving
// instance has the set within the window, at most four copies leave the origin,
// and at most about one copy crosses each inter-region link.
func checkBurst(t *testing.T, measurement burstMeasurement) {
	t.Helper()
	if measurement.Finished != measurement.Survivors {
		t.Errorf("%+v: only %d of %d surviving instances have the complete set", measurement, measurement.Finished, measurement.Survivors)
	}
	if measurement.RolloutSeconds > burstWindow.Seconds() {
		t.Errorf("%+v: all replicas have the set after %.0f s, bound %.0f s", measurement, measurement.RolloutSeconds, burstWindow.Seconds())
	}
	if measurement.OriginCopies > maxOriginCopies {
		t.Errorf("%+v: %.2f copies from the origin, bound %d", measurement, measurement.OriginCopies, maxOriginCopies)
	}
	if measurement.InterRegionCopies > maxInterRegionCopies {
		t.Errorf("%+v: %.2f copies over an inter-region link, bound %.1f", measurement, measurement.InterRegionCopies, maxInterRegionCopies)
	}
}

const (
	maxOriginCopies      = 4
	maxInterRegionCopies = 1.1
)

func TestBurst(t *testing.T) {
	for _, instances := range []int{12, 48} {
		for _, faults := range []bool{false, true} {
			checkBurst(t, measureBurst(t, burstCase{policy: "striped", instances: instances, regions: 3, chunks: 192, faults: faults, seed: 7}))
		}
	}
}

// TestBurstBehindLiveTraffic rate-limits weights on the instances' links too. It
// guards against weight transfers that delay live requests on the same link
// beyond the deadline of the first token.
func TestBurstBehindLiveTraffic(t *testing.T) {
	c := burstCase{policy: "striped", instances: 6, regions: 3, chunks: 96, rateLimited: true, seed: 7}
	requireLinkDelay(t, measureBurst(t, c))
	if !*fullRun {
		return
	}
	c.regions, c.chunks = 4, 512
	for _, instances := range []int{12, 48, 440} {
		for _, faults := range []bool{false, true} {
			for _, rateLimited := range []bool{false, true} {
				c.instances, c.faults, c.rateLimited = instances, faults, rateLimited
				measurement := measureBurst(t, c)
				if rateLimited {
					requireLinkDelay(t, measurement)
				}
			}
		}
	}
}

// firstTokenMilliseconds is the deadline for the first token.
const firstTokenMilliseconds = 840

func requireLinkDelay(t *testing.T, measurement burstMeasurement) {
	t.Helper()
	checkBurst(t, measurement)
	if measurement.LinkDelayP99Milliseconds > firstTokenMilliseconds {
		t.Errorf("%+v: weights delay live traffic by %.0f ms (p99), bound %d ms", measurement, measurement.LinkDelayP99Milliseconds, firstTokenMilliseconds)
	}
}

// TestBurstPolicies compares the distribution policies. A burst that takes longer
// than twice the window counts as unfinished.
func TestBurstPolicies(t *testing.T) {
	if !*fullRun {
		t.Skip("runs only with -figures")
	}
	for _, instances := range []int{12, 48, 440} {
		for _, faults := range []bool{false, true} {
			for _, policy := range policies() {
				t.Run(fmt.Sprintf("%d/%s/faults=%t", instances, policy.name, faults), func(t *testing.T) {
					measureBurst(t, policy.applyTo(burstCase{instances: instances, regions: 4, chunks: 512, faults: faults, seed: 7}))
				})
			}
		}
	}
	for _, regions := range []int{1, 2, 3} {
		for _, instances := range []int{12, 48, 440} {
			t.Run(fmt.Sprintf("%d/striped/regions=%d", instances, regions), func(t *testing.T) {
				checkBurst(t, measureBurst(t, burstCase{policy: "striped", instances: instances, regions: regions, chunks: 512, seed: 7}))
			})
		}
	}
}
