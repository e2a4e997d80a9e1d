package system

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// callers keeps callers busy at the given entries and returns what they got.
func (s *system) callers(count int, entries []int, length time.Duration) []reply {
	var mu sync.Mutex
	var got []reply
	group := concurrency.NewGroup(context.Background())
	end := time.Now().Add(length)
	for index := range count {
		group.Go(func(context.Context) {
			for time.Now().Before(end) {
				answer := s.draft(entries[index%len(entries)])
				mu.Lock()
				got = append(got, answer)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return got
}

func requireWhole(t *testing.T, got []reply) {
	t.Helper()
	for _, answer := range got {
		if !answer.whole {
			t.Errorf("draft that was cut or refused: %+v", answer)
		}
	}
	if len(got) == 0 {
		t.Error("no draft was asked for")
	}
}

// stopSoon asks a process to stop while callers are busy.
func (s *system) stopSoon(name string) {
	s.fakes.Go(func(ctx context.Context) {
		concurrency.Sleep(ctx, time.Second)
		leaving := s.nodes[name].instance
		leaving.Status = membership.Leaving
		s.instances.Set(leaving)
		s.nodes[name].stop()
	})
}

func TestPlannedStopOfAnAgentCutsNothing(t *testing.T) {
	inBubble(t, func(s *system) {
		s.stopSoon("draft-0-0")
		requireWhole(t, s.callers(6, []int{0, 1, 2}, 5*time.Second))
	})
}

// A call that may not be repeated cannot be resumed elsewhere, so its agent must
// wait for it.
func TestPlannedStopOfAServiceCutsNoBooking(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, service := range s.services {
			service.Latency = 120 * time.Millisecond
		}
		s.stopSoon("booking-0")
		group := concurrency.NewGroup(context.Background())
		for caller := range 8 {
			group.Go(func(context.Context) {
				for index := range 6 {
					key := fmt.Sprintf("stop-%d-%d", caller, index)
					if got := s.book(0, key); got.outcome != outcome.Done {
						t.Errorf("booking during a planned stop: %+v", got)
					}
				}
			})
		}
		group.Wait()
	})
}

func TestPlannedStopOfAnEntryCutsNothing(t *testing.T) {
	inBubble(t, func(s *system) {
		s.stopSoon("entry-0")
		// Callers keep the old address for as long as they may.
		requireWhole(t, s.callers(4, []int{0}, 3*time.Second))
		<-s.nodes["entry-0"].done
	})
}

func TestRollOutCutsNothingAndMixesNothing(t *testing.T) {
	inBubble(t, func(s *system) {
		var second string
		s.fakes.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, time.Second)
			second = s.rollOut("v2")
		})
		requireWhole(t, s.callers(6, []int{0, 1, 2}, 15*time.Second))
		for name, engine := range s.engines {
			if status := engine.Status(); status.Set != second {
				t.Errorf("engine %s serves %s, want %s", name, status.Set, second)
			}
		}
	})
}

// A third version replaces the second while it is being fetched.
func TestVersionChangesMidFlight(t *testing.T) {
	inBubble(t, func(s *system) {
		s.rollOut("v2")
		time.Sleep(300 * time.Millisecond)
		third := s.rollOut("v3")
		requireWhole(t, s.callers(4, []int{0, 1, 2}, 15*time.Second))
		for name, engine := range s.engines {
			if status := engine.Status(); status.Set != third {
				t.Errorf("engine %s serves %s, want %s", name, status.Set, third)
			}
		}
	})
}

// Many entries at once: a cold endpoint never gets more than it bears, also
// when it turned cold unannounced.
func TestColdEndpointIsNeverOverloaded(t *testing.T) {
	inBubble(t, func(s *system) {
		s.fakes.Go(func(ctx context.Context) {
			for index := range 6 {
				concurrency.Sleep(ctx, time.Second)
				for zone := range zones {
					s.engines[fmt.Sprintf("draft-%d-%d", zone, index%2)].EnterColdStart()
				}
			}
		})
		got := s.callers(60, []int{0, 1, 2}, 8*time.Second)
		for name, engine := range s.engines {
			if counts := engine.Counts(); counts.Overloads > 0 {
				t.Errorf("engine %s got up to %d requests more than it bears", name, counts.MaxOverload)
			}
		}
		for _, answer := range got {
			if !answer.whole && answer.outcome != outcome.NotRun {
				t.Errorf("overload was not shed with \"not run\": %+v", answer)
			}
		}
	})
}

// A new instance joins under load and is not handed more than it bears.
func TestNewEndpointIsNotOverloaded(t *testing.T) {
	inBubble(t, func(s *system) {
		s.fakes.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, time.Second)
			s.startDraft("draft-0-9", 0)
		})
		s.callers(40, []int{0, 1, 2}, 8*time.Second)
		if counts := s.engines["draft-0-9"].Counts(); counts.Overloads > 0 || counts.ChatCompletions == 0 {
			t.Errorf("new engine got %d requests, %d of them beyond what it bears", counts.ChatCompletions, counts.Overloads)
		}
	})
}

// The origin sends damaged chunks while instances are cut off: every engine
// still ends with the whole set, and nobody gets an answer from a damaged one.
func TestDamagedChunksNeverReachAnEngine(t *testing.T) {
	inBubble(t, func(s *system) {
		s.origin.SetFaults(fakes.OriginFaults{Corrupt: 0.3})
		set := s.rollOut("v2")
		s.fakes.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, 500*time.Millisecond)
			s.network.Disconnect("draft-0-0", "draft-0-1", "draft-1-0")
			concurrency.Sleep(ctx, 5*time.Second)
			s.network.Reconnect("draft-0-0", "draft-0-1", "draft-1-0")
		})
		requireWhole(t, s.callers(4, []int{0, 1, 2}, 30*time.Second))
		for name, engine := range s.engines {
			want := s.contentOf(set).String()
			if status := engine.Status(); status.Set != set || status.Content != want {
				t.Errorf("engine %s holds set %s with content %s, want %s with %s", name, status.Set, status.Content, set, want)
			}
		}
	})
}

// An engine that lost its weights, as after its restart, is loaded again.
func TestEngineThatLostItsWeightsIsLoadedAgain(t *testing.T) {
	inBubble(t, func(s *system) {
		want := s.engines["draft-0-0"].Status().Set
		s.engines["draft-0-0"].Restart()
		time.Sleep(5 * time.Second)
		if got := s.engines["draft-0-0"].Status().Set; got != want {
			t.Errorf("restarted engine serves %q, want %q", got, want)
		}
		requireWhole(t, s.callers(4, []int{0}, 2*time.Second))
	})
}
