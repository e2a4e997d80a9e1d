package integration

import (
	"sync"
	"testing"
	"time"
)

const (
	// coldTime is how long an endpoint stays cold. coldBound is the number of requests that it
	// may get in a second while it is cold: its rate times 1.5, plus 5.
	coldTime  = 3 * time.Second
	coldBound = 10*1.5 + 5
)

// Guards against a cold endpoint that gets requests like a warm one because it was cold before in
// the same incarnation: each time that its zone returns, and when it becomes cold by itself.
func TestEveryColdStartIsHonored(t *testing.T) {
	for name, becomeCold := range map[string]func(i *installation, zone int){
		"after an evacuation": func(i *installation, zone int) {
			i.store.Evacuate(zoneName(zone))
			time.Sleep(8*time.Second - 800*time.Millisecond)
			i.setCold(zone, coldTime+800*time.Millisecond)
			time.Sleep(800 * time.Millisecond)
			i.store.EndEvacuation(zoneName(zone))
		},
		"in service": func(i *installation, zone int) {
			i.setCold(zone, coldTime)
			// Gateways learn of it from the object store.
			time.Sleep(100 * time.Millisecond)
		},
		"twice, the first time for shorter": func(i *installation, zone int) {
			i.setCold(zone, 500*time.Millisecond)
			time.Sleep(400 * time.Millisecond)
			i.setCold(zone, coldTime)
			time.Sleep(100 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				const zone = 1
				stop := make(chan struct{})
				var traffic sync.WaitGroup
				traffic.Go(func() { i.sendShortChats(stop) })
				for round := range 3 {
					time.Sleep(6 * time.Second)
					becomeCold(i, zone)
					from := time.Now()
					time.Sleep(coldTime - 100*time.Millisecond)
					for index := range 2 {
						most := i.mostInSecond(engineName(zone, index), from, time.Now())
						if float64(most) > coldBound {
							t.Errorf("round %d: %s got %d requests in a second while it was cold, %g may be", round, engineName(zone, index), most, coldBound)
						}
					}
					i.setCold(zone, 0)
					from = time.Now()
					time.Sleep(2 * time.Second)
					if most := i.mostInSecond(engineName(zone, 0), from, time.Now()); float64(most) <= coldBound {
						t.Errorf("round %d: %s got only %d requests in a second once it was warm", round, engineName(zone, 0), most)
					}
				}
				close(stop)
				traffic.Wait()
			})
		})
	}
}

// setCold writes entries of the engines of a zone that say for how much longer they are cold.
func (i *installation) setCold(zone int, remaining time.Duration) {
	for index := range 2 {
		i.endpoints[engineName(zone, index)].SetColdStart(remaining)
	}
}

// sendShortChats sends 250 short chat completions a second to the gateways in turn until stop is
// closed.
func (i *installation) sendShortChats(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(4 * time.Millisecond):
		}
		call := i.chatCall(number % zoneCount)
		call.PromptTokens, call.OutputTokens = 20, 5
		group.Go(func() { _ = i.do(call) })
	}
}

// mostInSecond returns the largest number of requests that an endpoint began in a second of a
// period.
func (i *installation) mostInSecond(name string, from, to time.Time) int {
	var starts []time.Time
	for _, run := range i.endpoints[name].Executions() {
		if !run.StartedAt.Before(from) && run.StartedAt.Before(to) {
			starts = append(starts, run.StartedAt)
		}
	}
	most, first := 0, 0
	for last := range starts {
		for starts[last].Sub(starts[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
