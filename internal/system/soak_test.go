package system

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
	"github.com/mimosaward/mimosaward/pkg/outcome"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

var (
	soakSeed  = flag.Uint64("seed", 0, "seed of the randomized run; 0 runs a few fixed seeds")
	soakSteps = flag.Int("steps", 25, "number of random actions in a randomized run")
)

// soak is one randomized run: callers send requests while random faults, tickets
// and restarts happen, possibly overlapping or repeated.
type soak struct {
	*system
	random    *rand.Rand
	actionLog []string

	mu           sync.Mutex
	bookings     map[string][]callResult
	unterminated []callResult
	complete     int
	rejected     int
}

// TestSoak logs its seed and, on a failure, the list of its actions.
func TestSoak(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if *soakSeed != 0 {
		seeds = []uint64{*soakSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			inBubble(t, func(s *system) {
				run := &soak{system: s, random: rand.New(rand.NewPCG(seed, 9)), bookings: map[string][]callResult{}}
				run.run(*soakSteps)
				t.Logf("seed %d, %d steps: %d complete chat completions, %d rejected, %d bookings", seed, *soakSteps, run.complete, run.rejected, len(run.bookings))
				if t.Failed() {
					for _, line := range run.actionLog {
						t.Log(line)
					}
				}
			})
		})
	}
}

func (s *soak) run(steps int) {
	callers := concurrency.NewGroup(context.Background())
	for index := range 4 {
		callers.Go(func(ctx context.Context) { s.chatCompletionLoop(ctx, index%zoneCount) })
	}
	for index := range 2 {
		callers.Go(func(ctx context.Context) { s.bookingLoop(ctx, index) })
	}
	for range steps {
		s.randomAction()
		time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
	}
	s.objects.SetFaults(fakes.ObjectFaults{})
	callers.Stop()
	callers.Wait()
	s.checkResults()
}

func (s *soak) chatCompletionLoop(ctx context.Context, entry int) {
	for ctx.Err() == nil {
		got := s.chatCompletion(entry)
		s.mu.Lock()
		switch {
		case got.complete:
			s.complete++
		case got.err != nil && got.status == 200:
			s.unterminated = append(s.unterminated, got)
		default:
			s.rejected++
		}
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *soak) bookingLoop(ctx context.Context, caller int) {
	for index := 0; ctx.Err() == nil; index++ {
		key := fmt.Sprintf("soak-%d-%d", caller, index)
		results := s.bookUntilDone(key, 3)
		s.mu.Lock()
		s.bookings[key] = results
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// randomAction performs one random action.
func (s *soak) randomAction() {
	zone := s.random.IntN(zoneCount)
	actions := []struct {
		name string
		do   func()
	}{
		{"isolate a zone", func() { s.isolateZone(zone) }},
		{"freeze an agent", func() { s.freeze(fmt.Sprintf("draft-%d-0", zone)) }},
		{"object API down", func() { s.setStoreFaults(storeDown) }},
		{"object API loses responses", func() { s.setStoreFaults(fakes.ObjectFaults{LoseResponses: 0.5}) }},
		{"object API slow", func() { s.setStoreFaults(fakes.ObjectFaults{Delay: time.Second}) }},
		{"engine enters a cold start", func() { s.engines[fmt.Sprintf("draft-%d-1", zone)].EnterColdStart() }},
		{"engine breaks responses", func() {
			s.engines[fmt.Sprintf("draft-%d-0", zone)].SetFaults(fakes.EngineFaults{Misdirected: 1, Truncated: 1})
		}},
		{"services lose responses", func() { s.setServiceFaults(fakes.ServiceFaults{LoseResponses: 1, Misdirected: 1}) }},
		{"restart an agent", func() { s.restart(fmt.Sprintf("draft-%d-1", zone), zone) }},
		{"roll out a version", s.rollOutRandom},
		{"take a zone out of service and restore it", func() { s.evacuateZone(zone) }},
	}
	action := actions[s.random.IntN(len(actions))]
	s.actionLog = append(s.actionLog, fmt.Sprintf("%8s %s, zone %d", time.Since(s.start).Round(time.Millisecond), action.name, zone))
	action.do()
}

// undoLater reverts a fault after a random delay.
func (s *soak) undoLater(undo func()) {
	pause := time.Duration(500+s.random.IntN(5000)) * time.Millisecond
	s.tasks.Go(func(ctx context.Context) {
		concurrency.Sleep(ctx, pause)
		undo()
	})
}

func (s *soak) isolateZone(zone int) {
	inside, outside := s.inZone(zone), s.outsideZone(zone)
	for _, name := range inside {
		s.network.Disconnect(name, outside...)
	}
	s.undoLater(func() {
		for _, name := range inside {
			s.network.Reconnect(name, outside...)
		}
	})
}

func (s *soak) freeze(name string) {
	others := slices.Clone(s.processNames)
	s.network.Freeze(name, others...)
	s.undoLater(func() { s.network.Unfreeze(name, others...) })
}

func (s *soak) setStoreFaults(faults fakes.ObjectFaults) {
	s.objects.SetFaults(faults)
	s.undoLater(func() { s.objects.SetFaults(fakes.ObjectFaults{}) })
}

func (s *soak) restart(name string, zone int) {
	s.processes[name].stop()
	<-s.processes[name].done
	s.startAgent(name, "drafting", "model", zone)
}

func (s *soak) tryFileTicket(newTicket ticket.Ticket) (int64, bool) {
	newTicket.Operator = "soak"
	record, err := s.tickets.File(context.Background(), newTicket, fmt.Sprint("op-", time.Since(s.start)))
	return record.Ticket.Number, err == nil
}

func (s *soak) rollOutRandom() {
	version := fmt.Sprint("soak-", s.random.IntN(4))
	published, err := s.origin.Publish("draft", version, 1<<10, 24<<10)
	if err != nil {
		s.t.Fatal(err)
	}
	s.recordContent(published)
	s.tryFileTicket(ticket.Ticket{Pools: []ticket.Pool{{
		Name: "drafting", Kind: ticket.ModelPool, Model: "draft", Version: version, Manifest: published.Manifest.String(), Replicas: 6, MaxSwapping: 2,
	}}})
}

// evacuateZone checks that a ticket in force takes effect regardless of the other
// faults active at the time.
func (s *soak) evacuateZone(zone int) {
	number, filed := s.tryFileTicket(ticket.Ticket{Zones: []ticket.Zone{{Name: zoneName(zone), InService: false}}})
	if filed && s.awaitInForce(number) {
		time.Sleep(zoneEvacuationBound)
		before := s.zoneRequests(zone)
		time.Sleep(2 * time.Second)
		if received := s.zoneRequests(zone) - before; received != 0 {
			s.t.Errorf("zone %d received %d requests after ticket %d took it out of service", zone, received, number)
		}
	}
	s.objects.SetFaults(fakes.ObjectFaults{})
	s.tryFileTicket(ticket.Ticket{Zones: []ticket.Zone{{Name: zoneName(zone), InService: true}}})
}

func (s *soak) awaitInForce(number int64) bool {
	names := []string{zoneName(0), zoneName(1), zoneName(2)}
	for range 50 {
		acks, err := s.tickets.Acks(context.Background())
		if err == nil && ticketstore.InForce(number, names, acks) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// checkResults checks the results that callers received against the executions at
// the endpoints.
func (s *soak) checkResults() {
	for key, results := range s.bookings {
		s.checkBooking(key, results)
	}
	for _, got := range s.unterminated {
		if got.outcome != outcome.Unknown {
			s.t.Errorf("response without an explicit end: %+v", got)
		}
	}
	for name, engine := range s.engines {
		if counts := engine.Counts(); counts.Overloads > 0 {
			s.t.Errorf("engine %s received up to %d requests above its limit", name, counts.MaxOverload)
		}
	}
	if s.complete == 0 || len(s.bookings) == 0 {
		s.t.Error("no chat completion succeeded or no booking was made")
	}
}
