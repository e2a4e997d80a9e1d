package simulation

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// Pattern describes the load and the state of the engines over time.
type Pattern struct {
	Name     string
	Duration time.Duration
	// Rate returns the load as a multiple of the base load. A nil Rate means 1.
	Rate func(kind Kind, zone int, elapsed time.Duration) float64
	// Disturb changes engines or zones during the run. A nil Disturb changes nothing.
	Disturb func(ctx context.Context, r *Run)
}

const (
	defaultDuration = 18 * time.Second
	// disturbanceStart is the time from the start of a run to a disturbance or load spike.
	disturbanceStart = 3 * time.Second
)

// Patterns returns the load patterns that a dispatch policy must handle.
func Patterns() []Pattern {
	return []Pattern{
		{Name: "steady", Duration: defaultDuration},
		{Name: "heavy", Duration: defaultDuration, Rate: during(0, defaultDuration, 1.35)},
		{Name: "everyone at once", Duration: defaultDuration, Rate: during(disturbanceStart, disturbanceStart+3*time.Second, 2.5)},
		{Name: "one kind at once", Duration: defaultDuration, Rate: func(kind Kind, _ int, elapsed time.Duration) float64 {
			return during(disturbanceStart, disturbanceStart+4*time.Second, multipleIf(kind.Name == "short", 4))(kind, 0, elapsed)
		}},
		{Name: "one zone at once", Duration: defaultDuration, Rate: func(kind Kind, zone int, elapsed time.Duration) float64 {
			return during(disturbanceStart, disturbanceStart+6*time.Second, multipleIf(zone == 0, 2.5))(kind, zone, elapsed)
		}},
		{Name: "a zone leaves", Duration: defaultDuration, Disturb: evacuateZone},
		{Name: "engines load in turn", Duration: defaultDuration, Disturb: rollOut},
		{Name: "slow engines", Duration: defaultDuration, Disturb: slowEngines},
		{Name: "engines go silent", Duration: defaultDuration, Disturb: stallEngines},
		{Name: "all engines return empty", Duration: defaultDuration, Disturb: reloadAllEngines},
	}
}

func multipleIf(applies bool, multiple float64) float64 {
	if applies {
		return multiple
	}
	return 1
}

// during returns a rate function whose value is multiple in the time range [from, to) and 1
// otherwise.
func during(from, to time.Duration, multiple float64) func(Kind, int, time.Duration) float64 {
	return func(_ Kind, _ int, at time.Duration) float64 { return multipleIf(at >= from && at < to, multiple) }
}

// evacuateZone takes the first availability zone out of service for 6 s.
func evacuateZone(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbanceStart)
	r.state.SetEvacuatedZones(map[string]bool{zoneName(0): true})
	concurrency.Sleep(ctx, 6*time.Second)
	r.state.SetEvacuatedZones(nil)
}

// rollOut takes the engines out of service one after the other, each for 2 s, as a rollout
// does. The starts are spread over 3 s.
func rollOut(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbanceStart)
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	for _, host := range r.engines {
		group.Go(func(ctx context.Context) {
			r.setVersion(host, 0)
			concurrency.Sleep(ctx, 2*time.Second)
			r.setVersion(host, 1)
		})
		concurrency.Sleep(ctx, 3*time.Second/time.Duration(len(r.engines)))
	}
}

// slowEngines slows every fifth engine by a factor of 3 for 6 s.
func slowEngines(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbanceStart)
	for index, host := range r.engines {
		if index%5 == 0 {
			host.engine.SetSlowdown(3)
		}
	}
	concurrency.Sleep(ctx, 6*time.Second)
	for _, host := range r.engines {
		host.engine.SetSlowdown(1)
	}
}

// stallEngines makes every tenth engine practically unresponsive for 5 s, by slowing it by a
// factor of 50.
func stallEngines(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbanceStart)
	for index, host := range r.engines {
		if index%10 == 0 {
			host.engine.SetSlowdown(50)
		}
	}
	concurrency.Sleep(ctx, 5*time.Second)
	for _, host := range r.engines {
		host.engine.SetSlowdown(1)
	}
}

// reloadAllEngines unloads the model from all engines at once. After 3 s it loads the model
// again, one engine after the other within 1 s.
func reloadAllEngines(ctx context.Context, r *Run) {
	concurrency.Sleep(ctx, disturbanceStart)
	for _, host := range r.engines {
		r.setVersion(host, 0)
	}
	concurrency.Sleep(ctx, 3*time.Second)
	for _, host := range r.engines {
		r.setVersion(host, 1)
		concurrency.Sleep(ctx, time.Second/time.Duration(len(r.engines)))
	}
}
