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
	soakSeed  = flag.Uint64("seed", 0, "seed of the randomised run; 0 runs a few fixed ones")
	soakSteps = flag.Int("steps", 25, "random actions of a randomised run")
)

// soak is one randomised run: callers are busy while random faults, tickets and
// restarts happen, together and twice.
type soak struct {
	*system
	random *rand.Rand
	trace  []string

	mu       sync.Mutex
	bookings map[string][]reply
	silent   []reply
	whole    int
	refused  int
}

// TestSoak prints its seed and, on a failure, the trace of its actions.
func TestSoak(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if *soakSeed != 0 {
		seeds = []uint64{*soakSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			inBubble(t, func(s *system) {
				run := &soak{system: s, random: rand.New(rand.NewPCG(seed, 9)), bookings: map[string][]reply{}}
				run.run(*soakSteps)
				t.Logf("seed %d, %d steps: %d whole drafts, %d refused, %d bookings", seed, *soakSteps, run.whole, run.refused, len(run.bookings))
				if t.Failed() {
					for _, line := range run.trace {
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
		callers.Go(func(ctx context.Context) { s.draftLoop(ctx, index%zones) })
	}
	for index := range 2 {
		callers.Go(func(ctx context.Context) { s.bookLoop(ctx, index) })
	}
	for range steps {
		s.step()
		time.Sleep(time.Duration(s.random.IntN(1500)) * time.Millisecond)
	}
	s.objects.SetFaults(fakes.ObjectFaults{})
	callers.Stop()
	callers.Wait()
	s.judge()
}

func (s *soak) draftLoop(ctx context.Context, entry int) {
	for ctx.Err() == nil {
		got := s.draft(entry)
		s.mu.Lock()
		switch {
		case got.whole:
			s.whole++
		case got.err != nil && got.status == 200:
			s.silent = append(s.silent, got)
		default:
			s.refused++
		}
		s.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *soak) bookLoop(ctx context.Context, caller int) {
	for index := 0; ctx.Err() == nil; index++ {
		key := fmt.Sprintf("soak-%d-%d", caller, index)
		answers := s.bookUntilDone(key, 3)
		s.mu.Lock()
		s.bookings[key] = answers
		s.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// step does one random thing.
func (s *soak) step() {
	zone := s.random.IntN(zones)
	actions := []struct {
		name string
		do   func()
	}{
		{"cut a zone off", func() { s.cutZone(zone) }},
		{"freeze an agent", func() { s.freeze(fmt.Sprintf("draft-%d-0", zone)) }},
		{"object API down", func() { s.storeFault(standinDown) }},
		{"object API loses answers", func() { s.storeFault(fakes.ObjectFaults{LoseResponses: 0.5}) }},
		{"object API slow", func() { s.storeFault(fakes.ObjectFaults{Delay: time.Second}) }},
		{"engine turns cold", func() { s.engines[fmt.Sprintf("draft-%d-1", zone)].EnterColdStart() }},
		{"engine breaks answers", func() {
			s.engines[fmt.Sprintf("draft-%d-0", zone)].SetFaults(fakes.EngineFaults{Misdirected: 1, Truncated: 1})
		}},
		{"services lose answers", func() { s.serviceFaults(fakes.ServiceFaults{LoseResponses: 1, Misdirected: 1}) }},
		{"restart an agent", func() { s.restart(fmt.Sprintf("draft-%d-1", zone), zone) }},
		{"roll out a version", s.rollOutRandom},
		{"take a zone out and back", func() { s.zoneOutAndBack(zone) }},
	}
	action := actions[s.random.IntN(len(actions))]
	s.trace = append(s.trace, fmt.Sprintf("%8s %s, zone %d", time.Since(s.start).Round(time.Millisecond), action.name, zone))
	action.do()
}

// later undoes a fault after a random time.
func (s *soak) later(undo func()) {
	pause := time.Duration(500+s.random.IntN(5000)) * time.Millisecond
	s.fakes.Go(func(ctx context.Context) {
		concurrency.Sleep(ctx, pause)
		undo()
	})
}

func (s *soak) cutZone(zone int) {
	inside, outside := s.inZone(zone), s.others(zone)
	for _, name := range inside {
		s.network.Disconnect(name, outside...)
	}
	s.later(func() {
		for _, name := range inside {
			s.network.Reconnect(name, outside...)
		}
	})
}

func (s *soak) freeze(name string) {
	others := slices.Clone(s.names)
	s.network.Freeze(name, others...)
	s.later(func() { s.network.Unfreeze(name, others...) })
}

func (s *soak) storeFault(faults fakes.ObjectFaults) {
	s.objects.SetFaults(faults)
	s.later(func() { s.objects.SetFaults(fakes.ObjectFaults{}) })
}

func (s *soak) restart(name string, zone int) {
	s.nodes[name].stop()
	<-s.nodes[name].done
	s.startAgent(name, "drafting", "model", zone)
}

func (s *soak) tryFile(filed ticket.Ticket) (int64, bool) {
	filed.Operator = "soak"
	record, err := s.desk.File(context.Background(), filed, fmt.Sprint("op-", time.Since(s.start)))
	return record.Ticket.Number, err == nil
}

func (s *soak) rollOutRandom() {
	version := fmt.Sprint("soak-", s.random.IntN(4))
	published, err := s.origin.Publish("draft", version, 1<<10, 24<<10)
	if err != nil {
		s.t.Fatal(err)
	}
	s.noteContent(published)
	s.tryFile(ticket.Ticket{Pools: []ticket.Pool{{
		Name: "drafting", Kind: ticket.ModelPool, Model: "draft", Version: version, Manifest: published.Manifest.String(), Replicas: 6, MaxSwapping: 2,
	}}})
}

// zoneOutAndBack checks that an accepted ticket is honoured whatever else
// happens at the time.
func (s *soak) zoneOutAndBack(zone int) {
	number, filed := s.tryFile(ticket.Ticket{Zones: []ticket.Zone{{Name: zoneName(zone), InService: false}}})
	if filed && s.accepted(number) {
		time.Sleep(leaveBound)
		before := s.work(zone)
		time.Sleep(2 * time.Second)
		if work := s.work(zone) - before; work != 0 {
			s.t.Errorf("zone %d got %d requests after ticket %d took it out", zone, work, number)
		}
	}
	s.objects.SetFaults(fakes.ObjectFaults{})
	s.tryFile(ticket.Ticket{Zones: []ticket.Zone{{Name: zoneName(zone), InService: true}}})
}

func (s *soak) accepted(number int64) bool {
	names := []string{zoneName(0), zoneName(1), zoneName(2)}
	for range 50 {
		acks, err := s.desk.Acks(context.Background())
		if err == nil && ticketstore.InForce(number, names, acks) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// judge holds what the callers got against what the endpoints ran.
func (s *soak) judge() {
	for key, answers := range s.bookings {
		s.judgeBooking(key, answers)
	}
	for _, got := range s.silent {
		if got.outcome != outcome.Unknown {
			s.t.Errorf("answer without an explicit end: %+v", got)
		}
	}
	for name, engine := range s.engines {
		if counts := engine.Counts(); counts.Overloads > 0 {
			s.t.Errorf("engine %s got up to %d requests more than it bears", name, counts.MaxOverload)
		}
	}
	if s.whole == 0 || len(s.bookings) == 0 {
		s.t.Error("no request was answered")
	}
}
