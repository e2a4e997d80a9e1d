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

// runCallers runs concurrent callers against the given entries for a duration and
// returns their results.
func (s *system) runCallers(count int, entries []int, length time.Duration) []callResult {
	var mu sync.Mutex
	var results []callResult
	group := concurrency.NewGroup(context.Background())
	end := time.Now().Add(length)
	for index := range count {
		group.Go(func(context.Context) {
			for time.Now().Before(end) {
				result := s.chatCompletion(entries[index%len(entries)])
				mu.Lock()
				results = append(results, result)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return results
}

func requireComplete(t *testing.T, got []callResult) {
	t.Helper()
	for _, result := range got {
		if !result.complete {
			t.Errorf("incomplete or rejected chat completion: %+v", result)
		}
	}
	if len(got) == 0 {
		t.Error("no chat completion was requested")
	}
}

// scheduleStop stops a process gracefully after one second.
func (s *system) scheduleStop(name string) {
	s.tasks.Go(func(ctx context.Context) {
		concurrency.Sleep(ctx, time.Second)
		instance := s.processes[name].instance
		instance.Status = membership.Leaving
		s.instances.Set(instance)
		s.processes[name].stop()
	})
}

func TestGracefulAgentStopInterruptsNoRequest(t *testing.T) {
	inBubble(t, func(s *system) {
		s.scheduleStop("draft-0-0")
		requireComplete(t, s.runCallers(6, []int{0, 1, 2}, 5*time.Second))
	})
}

// An at-most-once call cannot be resumed elsewhere. The test guards against an agent
// that stops before its calls complete.
func TestGracefulServiceStopInterruptsNoBooking(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, service := range s.services {
			service.Latency = 120 * time.Millisecond
		}
		s.scheduleStop("booking-0")
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

func TestGracefulEntryStopInterruptsNoRequest(t *testing.T) {
	inBubble(t, func(s *system) {
		s.scheduleStop("entry-0")
		// Callers use the old address for up to its TTL.
		requireComplete(t, s.runCallers(4, []int{0}, 3*time.Second))
		<-s.processes["entry-0"].done
	})
}

func TestRolloutInterruptsAndMixesNoResponses(t *testing.T) {
	inBubble(t, func(s *system) {
		var secondSet string
		s.tasks.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, time.Second)
			secondSet = s.rollOut("v2")
		})
		requireComplete(t, s.runCallers(6, []int{0, 1, 2}, 15*time.Second))
		for name, engine := range s.engines {
			if status := engine.Status(); status.Set != secondSet {
				t.Errorf("engine %s serves %s, want %s", name, status.Set, secondSet)
			}
		}
	})
}

// A third version replaces the second while that one is being downloaded. The test
// guards against broken responses and engines that keep the second version.
func TestVersionChangesDuringDownload(t *testing.T) {
	inBubble(t, func(s *system) {
		s.rollOut("v2")
		time.Sleep(300 * time.Millisecond)
		thirdSet := s.rollOut("v3")
		requireComplete(t, s.runCallers(4, []int{0, 1, 2}, 15*time.Second))
		for name, engine := range s.engines {
			if status := engine.Status(); status.Set != thirdSet {
				t.Errorf("engine %s serves %s, want %s", name, status.Set, thirdSet)
			}
		}
	})
}

// Several entries send requests concurrently. The test guards against exceeding the
// limit of a cold endpoint, also when it enters a cold start without a load or a restart.
func TestColdEndpointIsNeverOverloaded(t *testing.T) {
	inBubble(t, func(s *system) {
		s.tasks.Go(func(ctx context.Context) {
			for index := range 6 {
				concurrency.Sleep(ctx, time.Second)
				for zone := range zoneCount {
					s.engines[fmt.Sprintf("draft-%d-%d", zone, index%2)].EnterColdStart()
				}
			}
		})
		got := s.runCallers(60, []int{0, 1, 2}, 8*time.Second)
		for name, engine := range s.engines {
			if counts := engine.Counts(); counts.Overloads > 0 {
				t.Errorf("engine %s received up to %d requests above its limit", name, counts.MaxOverload)
			}
		}
		for _, result := range got {
			if !result.complete && result.outcome != outcome.NotRun {
				t.Errorf("request shed under overload without the outcome \"not run\": %+v", result)
			}
		}
	})
}

// A new instance joins under load. The test guards against sending it more requests
// than its limit.
func TestNewEndpointIsNotOverloaded(t *testing.T) {
	inBubble(t, func(s *system) {
		s.tasks.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, time.Second)
			s.startModelEndpoint("draft-0-9", 0)
		})
		s.runCallers(40, []int{0, 1, 2}, 8*time.Second)
		if counts := s.engines["draft-0-9"].Counts(); counts.Overloads > 0 || counts.ChatCompletions == 0 {
			t.Errorf("new engine received %d requests, %d of them above its limit", counts.ChatCompletions, counts.Overloads)
		}
	})
}

// The origin sends corrupt chunks while instances are disconnected from each other. The
// test guards against engines that load an incomplete or corrupt set, and against
// responses from one.
func TestCorruptChunksNeverReachAnEngine(t *testing.T) {
	inBubble(t, func(s *system) {
		s.origin.SetFaults(fakes.OriginFaults{Corrupt: 0.3})
		set := s.rollOut("v2")
		s.tasks.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, 500*time.Millisecond)
			s.network.Disconnect("draft-0-0", "draft-0-1", "draft-1-0")
			concurrency.Sleep(ctx, 5*time.Second)
			s.network.Reconnect("draft-0-0", "draft-0-1", "draft-1-0")
		})
		requireComplete(t, s.runCallers(4, []int{0, 1, 2}, 30*time.Second))
		for name, engine := range s.engines {
			want := s.contentDigest(set).String()
			if status := engine.Status(); status.Set != set || status.Content != want {
				t.Errorf("engine %s has set %s with content %s, want %s with %s", name, status.Set, status.Content, set, want)
			}
		}
	})
}

// An engine loses its weights, as after a restart. The test guards against an agent
// that does not load them again.
func TestEngineThatLostItsWeightsIsReloaded(t *testing.T) {
	inBubble(t, func(s *system) {
		want := s.engines["draft-0-0"].Status().Set
		s.engines["draft-0-0"].Restart()
		time.Sleep(5 * time.Second)
		if got := s.engines["draft-0-0"].Status().Set; got != want {
			t.Errorf("restarted engine serves %q, want %q", got, want)
		}
		requireComplete(t, s.runCallers(4, []int{0}, 2*time.Second))
	})
}

// Guards against a request that is cut off, or answered late, while it waits for an endpoint
// because the entry stops.
func TestStopLetsRequestsWaitForAnEndpoint(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, name := range s.processNames {
			if instance := s.processes[name].instance; instance.Pool == "drafting" {
				instance.Status = membership.Leaving
				s.instances.Set(instance)
			}
		}
		time.Sleep(zoneEvacuationBound)
		s.scheduleStop("entry-0")
		// The stop begins while the request waits.
		time.Sleep(500 * time.Millisecond)
		const admissionWait, maxOvershoot = 2 * time.Second, 100 * time.Millisecond
		got, elapsed := s.timedChatCompletion(0)
		if got.outcome != outcome.NotRun || elapsed < admissionWait || elapsed > admissionWait+maxOvershoot {
			t.Errorf("request without an endpoint: %+v after %s, want a refusal after %s", got, elapsed, admissionWait)
		}
		<-s.processes["entry-0"].done
	})
}
