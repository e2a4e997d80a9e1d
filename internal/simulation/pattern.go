package simulation

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// Pattern is how load and engines behave over time.
type Pattern struct {
	Name   string
	Duration time.Duration
	// Rate returns the load as a multiple of the usual one; nil means 1.
	Rate func(kind Kind, zone int, at time.Duration) float64
	// Disturb changes engines while the run goes on; nil means nothing.
	Disturb func(ctx context.Context, r *Run)
}

const (
	usualLength = 18 * time.Second
	// disturbAt is when a disturbance begins.
	disturbAt = 3 * time.Second
)

// Patterns returns the patterns of load that a policy must bear.
func Patterns() []Pattern {
	return []Pattern{
		{Name: "steady", Duration: usualLength},
		{Name: "heavy", Duration: usualLength, Rate: during(0, usualLength, 1.35)},
		{Name: "everyone at once", Duration: usualLength, Rate: during(disturbAt, disturbAt+3*time.Second, 2.5)},
		{Name: "one kind at once", Duration: usualLength, Rate: func(kind Kind, _ int, at time.Duration) float64 {
			return during(disturbAt, disturbAt+4*time.Second, multipleOf(kind.Name == "short", 4))(kind, 0, at)
		}},
		{Name: "one zone at once", Duration: usualLength, Rate: func(kind Kind, zone int, at time.Duration) float64 {
			return during(disturbAt, disturbAt+6*time.Second, multipleOf(zone == 0, 2.5))(kind, zone, at)
		}},
		{Name: "a zone leaves", Duration: usualLength, Disturb: leaveZone},
		{Name: "engines load in turn", Duration: usualLength, Disturb: loadInTurn},
		{Name: "slow engines", Duration: usualLength, Disturb: slowEngines},
		{Name: "engines go silent", Duration: usualLength, Disturb: silenceEngines},
		{Name: "all engines return empty", Duration: usualLength, Disturb: returnEmpty},
	}
}

func multipleOf(applies bool, multiple float64) float64 {
	if applies {
		return multiple
	}
	return 1
}

// during returns a load that is a multiple of the usual one for a while.
func during(from, to time.Duration, multiple float64) func(Kind, int, time.Duration) float64 {
	return func(_ Kind, _ int, at time.Duration) float64 { return multipleOf(at >= from && at < to, multiple) }
}

// leaveZone takes the first availability zone out of service for a while.
func leaveZone(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbAt)
	r.fleet.SetEvacuatedZones(map[string]bool{zoneName(0): true})
	concurrency.Sleep(ctx, 6*time.Second)
	r.fleet.SetEvacuatedZones(nil)
}

// loadInTurn takes each engine out of work for a short while, one after the other, as a
// rollout does.
func loadInTurn(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbAt)
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	for _, engine := range r.engines {
		group.Go(func(ctx context.Context) {
			r.setVersion(engine, 0)
			concurrency.Sleep(ctx, 2*time.Second)
			r.setVersion(engine, 1)
		})
		concurrency.Sleep(ctx, 3*time.Second/time.Duration(len(r.engines)))
	}
}

// slowEngines makes a fifth of the engines slow.
func slowEngines(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbAt)
	for index, engine := range r.engines {
		if index%5 == 0 {
			engine.emulated.SetPace(3)
		}
	}
	concurrency.Sleep(ctx, 6*time.Second)
	for _, engine := range r.engines {
		engine.emulated.SetPace(1)
	}
}

// silenceEngines makes a tenth of the engines answer nothing for a while.
func silenceEngines(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbAt)
	for index, engine := range r.engines {
		if index%10 == 0 {
			engine.emulated.SetPace(50)
		}
	}
	concurrency.Sleep(ctx, 5*time.Second)
	for _, engine := range r.engines {
		engine.emulated.SetPace(1)
	}
}

// returnEmpty takes all engines away at once, and lets them come back within a second
// of each other.
func returnEmpty(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbAt)
	for _, engine := range r.engines {
		r.setVersion(engine, 0)
	}
	concurrency.Sleep(ctx, 3*time.Second)
	for _, engine := range r.engines {
		r.setVersion(engine, 1)
		concurrency.Sleep(ctx, time.Second/time.Duration(len(r.engines)))
	}
}
