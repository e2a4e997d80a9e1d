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

var figures = flag.Bool("figures", false, "run the long scenarios and print one JSON object a line")

const (
	// firstTokenBound is the time in which the first token must arrive.
	firstTokenBound = 840 * time.Millisecond
	// leavingZone is the zone that leaves and returns.
	leavingZone    = 1
	outAt          = 4 * time.Second
	backAt         = 10 * time.Second
	scenarioLength = 18 * time.Second
	wholeShareGoal = 0.999
)

// zoneFigure is what a zone that leaves and returns under load measured.
type zoneFigure struct {
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

// scenario counts what callers got while a zone left and returned.
type scenario struct {
	*system
	mu     sync.Mutex
	figure zoneFigure
	whole  int
	waits  []time.Duration
}

// offer sends requests at a steady rate, whatever happens to earlier ones.
func (s *scenario) offer(perSecond int) {
	callers := concurrency.NewGroup(context.Background())
	interval := time.Second / time.Duration(perSecond)
	end := time.Now().Add(scenarioLength)
	for index := 0; time.Now().Before(end); index++ {
		callers.Go(func(context.Context) { s.note(s.timedDraft(index % zones)) })
		time.Sleep(interval)
	}
	callers.Wait()
}

func (s *scenario) note(got reply, waited time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figure.Requests++
	switch {
	case got.whole && waited <= firstTokenBound:
		s.whole++
	case got.outcome == outcome.NotRun:
		s.figure.NotRun++
	case !got.whole:
		s.figure.Unknown++
	}
	if got.whole {
		s.waits = append(s.waits, waited)
	}
}

// moveZone takes a zone out and brings it back with all its engines cold.
func (s *scenario) moveZone(ctx context.Context) {
	concurrency.Sleep(ctx, outAt)
	s.zone(leavingZone, false)
	concurrency.Sleep(ctx, backAt-outAt)
	for index := range s.shape.drafts[leavingZone] {
		s.engines[fmt.Sprintf("draft-%d-%d", leavingZone, index)].EnterColdStart()
	}
	s.zone(leavingZone, true)
	start, before := time.Now(), s.work(leavingZone)
	perSecond := int64(s.figure.OfferedPerSecond / zones)
	for ctx.Err() == nil {
		concurrency.Sleep(ctx, time.Second)
		work := s.work(leavingZone)
		if (work-before)*10 >= perSecond*8 {
			s.mu.Lock()
			s.figure.SecondsToFullService = time.Since(start).Seconds()
			s.mu.Unlock()
			return
		}
		before = work
	}
}

// runScenario offers a share of what the zones that remain can bear.
func runScenario(t *testing.T, policy string, of shape, share float64) zoneFigure {
	t.Helper()
	var figure zoneFigure
	inBubbleOf(t, of, func(s *system) {
		// A worker has warmLimit requests at a time, each for the first token
		// and the tokens after it.
		engine := s.engines["draft-0-0"]
		service := engine.FirstTokenLatency + draftTokens*engine.TokenInterval
		workers := of.drafts[0] + of.drafts[1] + of.drafts[2]
		remaining := float64((workers-of.drafts[leavingZone])*warmLimit) / service.Seconds()
		run := &scenario{system: s, figure: zoneFigure{
			Figure: "zoneLeavesAndReturns", Policy: policy, Workers: workers,
			OfferedPerSecond: int(share * remaining), ShareOfRemaining: share,
		}}
		s.fakes.Go(run.moveZone)
		run.offer(run.figure.OfferedPerSecond)
		figure = run.finish()
	})
	text, err := json.Marshal(figure)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Println(string(text))
	return figure
}

func (s *scenario) finish() zoneFigure {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.figure.WholeInTimeShare = float64(s.whole) / float64(s.figure.Requests)
	slices.Sort(s.waits)
	if len(s.waits) > 0 {
		s.figure.FirstTokenSecondsP95 = s.waits[len(s.waits)*95/100].Seconds()
	}
	for _, engine := range s.engines {
		s.figure.WorstColdOverload = max(s.figure.WorstColdOverload, engine.Counts().MaxOverload)
	}
	return s.figure
}

// roundRobin and leastLoaded are the baselines.
func roundRobin() func(routing.Request, []membership.Instance, func(string) float64) membership.Instance {
	var turn atomic.Int64
	return func(_ routing.Request, candidates []membership.Instance, _ func(string) float64) membership.Instance {
		return candidates[int(turn.Add(1))%len(candidates)]
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
	requireService(t, runScenario(t, "gate", shape{drafts: smallDrafts}, 0.8))
	if !*figures {
		return
	}
	for _, drafts := range [][zones]int{tegakiDrafts, cairnlochDrafts} {
		for _, share := range []float64{0.6, 0.8, 0.9} {
			requireService(t, runScenario(t, "gate", shape{drafts: drafts}, share))
			runScenario(t, "roundRobin", shape{drafts: drafts, ungated: true, pick: roundRobin()}, share)
			runScenario(t, "leastLoadedNoGate", shape{drafts: drafts, ungated: true, pick: leastLoaded}, share)
		}
	}
}

// requireService checks a scenario against the goals.
func requireService(t *testing.T, figure zoneFigure) {
	t.Helper()
	if figure.WorstColdOverload != 0 {
		t.Errorf("a cold engine got up to %d requests more than it bears", figure.WorstColdOverload)
	}
	if figure.WholeInTimeShare < wholeShareGoal || figure.FirstTokenSecondsP95 > firstTokenBound.Seconds() {
		t.Errorf("whole answers in time: %.4f, first token p95 %.2f s; bounds %.3f and %s", figure.WholeInTimeShare, figure.FirstTokenSecondsP95, wholeShareGoal, firstTokenBound)
	}
}
