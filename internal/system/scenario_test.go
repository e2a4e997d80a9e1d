package system

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/routing"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

var figures = flag.Bool("figures", false, "run the long scenarios and print one JSON object per line")

const (
	// firstTokenBound is the deadline for the first token.
	firstTokenBound = 840 * time.Millisecond
	// leavingZone is the zone that is taken out of service and brought back.
	leavingZone      = 1
	outAt            = 4 * time.Second
	backAt           = 10 * time.Second
	scenarioLength   = 18 * time.Second
	minCompleteShare = 0.999
)

// zoneMeasurement holds the results of taking a zone out and back under load.
type zoneMeasurement struct {
	Figure               string  `json:"figure"`
	Policy               string  `json:"policy"`
	Workers              int     `json:"workers"`
	OfferedPerSecond     int     `json:"offeredPerSecond"`
	ShareOfRemaining     float64 `json:"shareOfRemainingCapacity"`
	Requests             int     `json:"requests"`
	WholeInTimeShare     float64 `json:"wholeInTimeShare"`
	NotRun               int     `json:"notRun"`
	Unknown              int     `json:"unknown"`
	FirstTokenSecondsP95 float64 `json:"firstTokenSecondsP95"`
	WorstColdOverload    int     `json:"worstColdOverload"`
	SecondsToFullService float64 `json:"secondsToFullService"`
}

// scenario records the results to callers while a zone is taken out and back.
type scenario struct {
	*system
	mu              sync.Mutex
	measurement     zoneMeasurement
	completeInTime  int
	firstTokenTimes []time.Duration
}

// offerLoad sends requests at a constant rate, independent of the completion of
// earlier ones.
func (s *scenario) offerLoad(perSecond int) {
	callers := concurrency.NewGroup(context.Background())
	interval := time.Second / time.Duration(perSecond)
	end := time.Now().Add(scenarioLength)
	for index := 0; time.Now().Before(end); index++ {
		callers.Go(func(context.Context) { s.record(s.timedChatCompletion(index % zones)) })
		time.Sleep(interval)
	}
	callers.Wait()
}

func (s *scenario) record(got callResult, firstTokenTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measurement.Requests++
	switch {
	case got.complete && firstTokenTime <= firstTokenBound:
		s.completeInTime++
	case got.outcome == outcome.NotRun:
		s.measurement.NotRun++
	case !got.complete:
		s.measurement.Unknown++
	}
	if got.complete {
		s.firstTokenTimes = append(s.firstTokenTimes, firstTokenTime)
	}
}

// takeZoneOutAndBack takes a zone out of service and brings it back with all its
// engines cold. It measures the time until the zone gets 80% of its share of the
// load.
func (s *scenario) takeZoneOutAndBack(ctx context.Context) {
	concurrency.Sleep(ctx, outAt)
	s.setZoneInService(leavingZone, false)
	concurrency.Sleep(ctx, backAt-outAt)
	for index := range s.config.modelEndpoints[leavingZone] {
		s.engines[fmt.Sprintf("draft-%d-%d", leavingZone, index)].EnterColdStart()
	}
	s.setZoneInService(leavingZone, true)
	start, before := time.Now(), s.zoneRequests(leavingZone)
	perSecond := int64(s.measurement.OfferedPerSecond / zones)
	for ctx.Err() == nil {
		concurrency.Sleep(ctx, time.Second)
		requests := s.zoneRequests(leavingZone)
		if (requests-before)*10 >= perSecond*8 {
			s.mu.Lock()
			s.measurement.SecondsToFullService = time.Since(start).Seconds()
			s.mu.Unlock()
			return
		}
		before = requests
	}
}

// runScenario offers load equal to a share of the remaining zones' capacity.
func runScenario(t *testing.T, policy string, config deploymentConfig, share float64) zoneMeasurement {
	t.Helper()
	var measurement zoneMeasurement
	inBubbleWith(t, config, func(s *system) {
		// A worker runs warmLimit requests at a time, each for the time to the first
		// token plus the tokens after it.
		engine := s.engines["draft-0-0"]
		service := engine.FirstTokenLatency + completionTokens*engine.TokenInterval
		workers := config.modelEndpoints[0] + config.modelEndpoints[1] + config.modelEndpoints[2]
		remaining := float64((workers-config.modelEndpoints[leavingZone])*warmLimit) / service.Seconds()
		run := &scenario{system: s, measurement: zoneMeasurement{
			Figure: "zoneLeavesAndReturns", Policy: policy, Workers: workers,
			OfferedPerSecond: int(share * remaining), ShareOfRemaining: share,
		}}
		s.tasks.Go(run.takeZoneOutAndBack)
		run.offerLoad(run.measurement.OfferedPerSecond)
		measurement = run.finish()
	})
	text, err := json.Marshal(measurement)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(text))
	return measurement
}

func (s *scenario) finish() zoneMeasurement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.measurement.WholeInTimeShare = float64(s.completeInTime) / float64(s.measurement.Requests)
	slices.Sort(s.firstTokenTimes)
	if len(s.firstTokenTimes) > 0 {
		s.measurement.FirstTokenSecondsP95 = s.firstTokenTimes[len(s.firstTokenTimes)*95/100].Seconds()
	}
	for _, engine := range s.engines {
		s.measurement.WorstColdOverload = max(s.measurement.WorstColdOverload, engine.Counts().MaxOverload)
	}
	return s.measurement
}

// roundRobin and leastLoaded are the baseline policies.
func roundRobin() func(routing.Request, []membership.Instance, func(string) float64) membership.Instance {
	var next atomic.Int64
	return func(_ routing.Request, candidates []membership.Instance, _ func(string) float64) membership.Instance {
		return candidates[int(next.Add(1))%len(candidates)]
	}
}

func leastLoaded(_ routing.Request, candidates []membership.Instance, load func(string) float64) membership.Instance {
	best := candidates[0]
	for _, candidate := range candidates[1:] {
		if load(candidate.Name) < load(best.Name) {
			best = candidate
		}
	}
	return best
}

func TestZoneLeavesAndReturnsUnderLoad(t *testing.T) {
	requireGoals(t, runScenario(t, "gate", deploymentConfig{modelEndpoints: smallDeployment}, 0.8))
	if !*figures {
		return
	}
	for _, endpoints := range [][zones]int{tegakiDeployment, cairnlochDeployment} {
		for _, share := range []float64{0.6, 0.8, 0.9} {
			requireGoals(t, runScenario(t, "gate", deploymentConfig{modelEndpoints: endpoints}, share))
			runScenario(t, "roundRobin", deploymentConfig{modelEndpoints: endpoints, admissionDisabled: true, pick: roundRobin()}, share)
			runScenario(t, "leastLoadedNoGate", deploymentConfig{modelEndpoints: endpoints, admissionDisabled: true, pick: leastLoaded}, share)
		}
	}
}

// requireGoals checks the results of a scenario against the goals.
func requireGoals(t *testing.T, measurement zoneMeasurement) {
	t.Helper()
	if measurement.WorstColdOverload != 0 {
		t.Errorf("cold engine received up to %d requests above its limit", measurement.WorstColdOverload)
	}
	if measurement.WholeInTimeShare < minCompleteShare || measurement.FirstTokenSecondsP95 > firstTokenBound.Seconds() {
		t.Errorf("share of complete responses in time is %.4f, first token p95 %.2f s; bounds %.3f and %s", measurement.WholeInTimeShare, measurement.FirstTokenSecondsP95, minCompleteShare, firstTokenBound)
	}
}
