package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// Guards against cold endpoints that receive more than their rate in some second. Each gateway
// rounds its share up to whole requests, which the rule's tolerance allows.
func TestColdRateHoldsInEverySecond(t *testing.T) {
	const rate, overshoot, tolerance = 10, 1.5, 5
	for gateways := 1; gateways <= 5; gateways++ {
		t.Run(fmt.Sprint(gateways, " gateways"), func(t *testing.T) {
			start := time.Now()
			d := &Dispatcher{demandRatios: map[string]float64{}}
			for other := 1; other < gateways; other++ {
				d.demandRatios[fmt.Sprint(other)] = 1
			}
			service := &configuration.Service{ColdRate: rate}
			var sent []time.Time
			for range gateways {
				state := &endpointState{coldUntil: start.Add(time.Hour)}
				for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(5 * time.Millisecond) {
					if d.underColdRate(service, state, now) {
						state.recordSend(now, 1)
						sent = append(sent, now)
					}
				}
			}
			bound := gateways * int(math.Ceil(float64(rate)/float64(gateways)))
			if allowed := rate*overshoot + tolerance; float64(bound) > allowed {
				t.Fatalf("the shares add up to %d requests, the rule allows %v", bound, allowed)
			}
			for _, from := range sent {
				count := 0
				for _, at := range sent {
					if !at.Before(from) && at.Before(from.Add(time.Second)) {
						count++
					}
				}
				if count > bound {
					t.Fatalf("%d requests in the second from %s on, want at most %d", count, from.Sub(start), bound)
				}
			}
		})
	}
}
