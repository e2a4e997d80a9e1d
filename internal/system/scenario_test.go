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

var fullRun = flag.Bool("figures", false, "run the long scenarios and print one JSON object per line")

const (
	// firstTokenBound is the deadline for the first token.
	firstTokenBound = 840 * time.Millisecond
	// evacuatedZone is the zone that is taken out of service and restored.
	evacuatedZone    = 1
	evacuationStart  = 4 * time.Second
	evacuationEnd    = 10 * time.Second
	scenarioLength   = 18 * time.Second
	minCompleteShare = 0.999
)

// zoneMeasurement holds the results of evacuating and restoring a zone under load.
type zoneMeasurement struct {
	Kind                 string  `json:"figure"`
	Policy               string  `json:"policy"`
	Workers              int     `json:"workers"`
	OfferedPerSecond     int     `json:"offeredPerSecond"`
	ShareOfRemaining     float64 `json:"shareOfRemainingCapacity"`
	Requests             int     `json:"requests"`
	CompleteInTimeShare  float64 `json:"wholeInTimeShare"`
	NotRun               int     `json:"notRun"`
	Unknown              int     `json:"unknown"`
	FirstTokenSecondsP95 float64 `json:"firstTokenSecondsP95"`
	MaxColdOverload      int     `json:"worstColdOverload"`
	RestoreSeconds       float64 `json:"secondsToFullService"`
}

// scenario records the results of requests while a zone is evacuated and restored.
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
		callers.Go(func(context.Context) { s.record(s.timedChatCompletion(index % zoneCount)) })
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

// evacuateAndRestoreZone takes a zone out of service and restores it with all its
// engines cold. It measures the time until the zone receives 80% of its share of the
// load.
func (s *scenario) evacuateAndRestoreZone(ctx context.Context) {
	concurrency.Sleep(ctx, evacuationStart)
	s.setZoneInService(evacuatedZone, false)
	concurrency.Sleep(ctx, evacuationEnd-evacuationStart)
	for index := range s.config.modelEndpoints[evacuatedZone] {
		s.engines[fmt.Sprintf("draft-%d-%d", evacuatedZone, index)].EnterColdStart()
	}
	s.setZoneInService(evacuatedZone, true)
	start, before := time.Now(), s.zoneRequests(evacuatedZone)
	perSecond := int64(s.measurement.OfferedPerSecond / zoneCount)
	for ctx.Err() == nil {
		concurrency.Sleep(ctx, time.Second)
		requests := s.zoneRequests(evacuatedZone)
		if (requests-before)*10 >= perSecond*8 {
			s.mu.Lock()
			s.measurement.RestoreSeconds = time.Since(start).Seconds()
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
		remaining := float64((workers-config.modelEndpoints[evacuatedZone])*warmLimit) / service.Seconds()
		run := &scenario{system: s, measurement: zoneMeasurement{
			Kind: "zoneLeavesAndReturns", Policy: policy, Workers: workers,
			OfferedPerSecond: int(share * remaining), ShareOfRemaining: share,
		}}
		s.tasks.Go(run.evacuateAndRestoreZone)
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
	s.measurement.CompleteInTimeShare = float64(s.completeInTime) / float64(s.measurement.Requests)
	slices.Sort(s.firstTokenTimes)
	if len(s.firstTokenTimes) > 0 {
		s.measurement.FirstTokenSecondsP95 = s.firstTokenTimes[len(s.firstTokenTimes)*95/100].Seconds()
	}
	for _, engine := range s.engines {
		s.measurement.MaxColdOverload = max(s.measurement.MaxColdOverload, engine.Counts().MaxOverload)
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
	checkBounds(t, runScenario(t, "gate", deploymentConfig{modelEndpoints: smallDeployment}, 0.8))
	if !*fullRun {
		return
	}
	for _, endpoints := range [][zoneCount]int{tegakiDeployment, cairnlochDeployment} {
		for _, share := range []float64{0.6, 0.8, 0.9} {
			checkBounds(t, runScenario(t, "gate", deploymentConfig{modelEndpoints: endpoints}, share))
			runScenario(t, "roundRobin", deploymentConfig{modelEndpoints: endpoints, admissionDisabled: true, pick: roundRobin()}, share)
			runScenario(t, "leastLoadedNoGate", deploymentConfig{modelEndpoints: endpoints, admissionDisabled: true, pick: leastLoaded}, share)
		}
	}
}

// checkBounds checks the results of a scenario against the required bounds.
func checkBounds(t *testing.T, measurement zoneMeasurement) {
	t.Helper()
	if measurement.MaxColdOverload != 0 {
		t.Errorf("cold engine received up to %d requests above its limit", measurement.MaxColdOverload)
	}
	if measurement.CompleteInTimeShare < minCompleteShare || measurement.FirstTokenSecondsP95 > firstTokenBound.Seconds() {
		t.Errorf("share of complete responses in time is %.4f, first token p95 %.2f s; bounds %.3f and %s", measurement.CompleteInTimeShare, measurement.FirstTokenSecondsP95, minCompleteShare, firstTokenBound)
	}
}
