package system

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/uuid"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// Engines misdirect, truncate or duplicate responses, or generate them from wrong
// weights. The test guards against forwarding these: the caller receives a complete
// response to its own request or an explicit error.
func TestBrokenResponsesAreNotForwarded(t *testing.T) {
	faults := map[string]fakes.EngineFaults{
		"misdirected":   {Misdirected: 2},
		"truncated":     {Truncated: 2},
		"duplicated":    {Duplicated: 4},
		"wrong weights": {WrongWeights: 2},
		"all faults":    {Misdirected: 1, Truncated: 1, Duplicated: 1, WrongWeights: 1},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(s *system) {
				for _, engine := range s.engines {
					engine.SetFaults(fault)
				}
				complete := 0
				for range 20 {
					got := s.chatCompletion(0)
					if got.err != nil {
						t.Errorf("response without an explicit end: %+v", got)
					}
					if got.complete {
						complete++
					}
				}
				if complete < 10 {
					t.Errorf("only %d of 20 chat completions are complete", complete)
				}
			})
		})
	}
}

// The endpoint of a stream becomes unreachable. The test guards against a broken
// stream: it continues at another endpoint with the same weight set.
func TestStreamIsResumedWhenItsEndpointBecomesUnreachable(t *testing.T) {
	inBubble(t, func(s *system) {
		got := make(chan callResult, 1)
		group := concurrency.NewGroup(context.Background())
		group.Go(func(context.Context) { got <- s.chatCompletion(0) })
		time.Sleep(120 * time.Millisecond)
		for name, engine := range s.engines {
			if engine.Status().InFlight > 0 {
				s.network.Disconnect(name, "entry-0")
			}
		}
		if result := <-got; !result.complete {
			t.Errorf("chat completion whose endpoint became unreachable: %+v", result)
		}
		group.Wait()
	})
}

// Guards against the text of an error in the middle of a stream: the stream breaks off, and the
// endpoint at which it is to continue responds with an error.
func TestStreamHasNoErrorOfAnotherEndpoint(t *testing.T) {
	inBubble(t, func(s *system) {
		got := make(chan callResult, 1)
		group := concurrency.NewGroup(context.Background())
		group.Go(func(context.Context) { got <- s.chatCompletion(0) })
		time.Sleep(120 * time.Millisecond)
		for name, engine := range s.engines {
			engine.SetFaults(fakes.EngineFaults{RejectResumed: true})
			if engine.Status().InFlight > 0 {
				s.network.Disconnect(name, "entry-0")
			}
		}
		if result := <-got; result.complete || result.err != nil || result.outcome != outcome.Unknown {
			t.Errorf("the chat completion ended with %+v, want an error event", result)
		}
		group.Wait()
	})
}

// A caller disconnects during a stream. The test guards against an engine that
// keeps generating.
func TestCancellationReachesTheEngine(t *testing.T) {
	inBubble(t, func(s *system) {
		response, err := s.client.Do(upstream.Request{
			Method: "POST", URL: "http://entry-0:80/v1/chat/completions",
			Body:    []byte(`{"model":"draft","max_tokens":400,"messages":[{"role":"user","content":"x"}]}`),
			Headers: map[string]string{outcome.RequestIDHeader: uuid.NewString()},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := response.ReadLine(); err != nil {
			t.Fatal(err)
		}
		response.Close()
		time.Sleep(2 * time.Second)
		canceled, inFlight := int64(0), 0
		for _, engine := range s.engines {
			canceled += engine.Counts().Canceled
			inFlight += engine.Status().InFlight
		}
		if canceled != 1 || inFlight != 0 {
			t.Errorf("engines counted %d cancellations and have %d requests in flight, want 1 and 0", canceled, inFlight)
		}
	})
}

// bookUntilDone repeats a booking at each entry in turn until its outcome is done,
// for the given number of attempts.
func (s *system) bookUntilDone(key string, attempts int) (results []callResult) {
	for attempt := range attempts {
		got := s.book(attempt%zoneCount, key)
		results = append(results, got)
		if got.outcome == outcome.Done {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return results
}

// checkBooking checks the results that a caller received for one key against the
// executions by the services.
func (s *system) checkBooking(key string, results []callResult) {
	s.t.Helper()
	runs := s.runCount(key)
	if runs > 1 {
		s.t.Errorf("booking %s ran %d times: %+v", key, runs, results)
	}
	allNotRun := true
	for _, got := range results {
		allNotRun = allNotRun && got.outcome == outcome.NotRun
		if got.outcome == outcome.Done && runs == 0 {
			s.t.Errorf("booking %s was reported as done but did not run", key)
		}
	}
	if allNotRun && runs > 0 {
		s.t.Errorf("booking %s ran although the outcome of every result is \"not run\"", key)
	}
}

func TestBookingRunsOnce(t *testing.T) {
	cases := map[string]func(s *system){
		"without faults":                    func(*system) {},
		"store loses responses":             func(s *system) { s.objects.SetFaults(fakes.ObjectFaults{LoseResponses: 0.5}) },
		"store is down":                     func(s *system) { s.objects.SetFaults(storeDown) },
		"store is slow":                     func(s *system) { s.objects.SetFaults(fakes.ObjectFaults{Delay: 1500 * time.Millisecond}) },
		"services lose responses":           func(s *system) { s.setServiceFaults(fakes.ServiceFaults{LoseResponses: 3}) },
		"services misdirect responses":      func(s *system) { s.setServiceFaults(fakes.ServiceFaults{Misdirected: 3}) },
		"owner is unreachable":              func(s *system) { s.network.Disconnect("entry-0", "entry-1", "entry-2") },
		"entry is disconnected from agents": func(s *system) { s.network.Disconnect("entry-0", "booking-0", "booking-1") },
		"entry is frozen":                   func(s *system) { s.freezeEntry(0) },
		"store and services lose responses": func(s *system) {
			s.objects.SetFaults(fakes.ObjectFaults{LoseResponses: 0.3})
			s.setServiceFaults(fakes.ServiceFaults{LoseResponses: 2})
		},
		"store is down, services lose responses": func(s *system) {
			s.objects.SetFaults(storeDown)
			s.setServiceFaults(fakes.ServiceFaults{LoseResponses: 10})
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(s *system) {
				fault(s)
				for index := range 12 {
					key := fmt.Sprintf("key-%d", index)
					results := s.bookUntilDone(key, 4)
					s.checkBooking(key, results)
				}
				s.objects.SetFaults(fakes.ObjectFaults{})
			})
		})
	}
}

func (s *system) setServiceFaults(faults fakes.ServiceFaults) {
	for _, service := range s.services {
		service.SetFaults(faults)
	}
}

// freezeEntry freezes an entry's paths to the booking agents for 5 s.
func (s *system) freezeEntry(entry int) {
	name := fmt.Sprintf("entry-%d", entry)
	s.network.Freeze(name, "booking-0", "booking-1", "booking-2")
	s.tasks.Go(func(ctx context.Context) {
		concurrency.Sleep(ctx, 5*time.Second)
		s.network.Unfreeze(name, "booking-0", "booking-1", "booking-2")
	})
}

// Calls with the same key reach all entries at the same time. The test guards
// against more than one being executed.
func TestConcurrentBookingsWithOneKeyRunOnce(t *testing.T) {
	inBubble(t, func(s *system) {
		for index := range 10 {
			key := fmt.Sprintf("race-%d", index)
			results := make([]callResult, zoneCount)
			group := concurrency.NewGroup(context.Background())
			for entry := range zoneCount {
				group.Go(func(context.Context) { results[entry] = s.book(entry, key) })
			}
			group.Wait()
			s.checkBooking(key, results)
			if s.runCount(key) != 1 {
				t.Errorf("booking %s ran %d times, want 1: %+v", key, s.runCount(key), results)
			}
		}
	})
}

// A repeated call receives the stored response of the call that was executed. The test
// guards against a second execution.
func TestRepeatedBookingGetsTheFirstResponse(t *testing.T) {
	inBubble(t, func(s *system) {
		for range 3 {
			if got := s.book(0, "again"); got.outcome != outcome.Done || got.status != 201 {
				t.Errorf("repeated booking: %+v", got)
			}
			time.Sleep(time.Second)
		}
		if runs := s.runCount("again"); runs != 1 {
			t.Errorf("booking ran %d times, want 1", runs)
		}
	})
}

// The engine receives the priority of a request from the workspace's ticket. The test
// guards against using the priority that the caller sends.
func TestPriorityReachesTheEngine(t *testing.T) {
	inBubble(t, func(s *system) {
		s.fileTicket(ticket.Ticket{Workspaces: []ticket.Workspace{{Name: "low", Priority: 0, MaxShare: 100}, {Name: "high", Priority: 2, MaxShare: 100}}})
		time.Sleep(ticketBound)
		for _, workspace := range []string{"low", "high", "unknown", "high"} {
			response, err := s.client.Do(upstream.Request{
				Method: "POST", URL: "http://entry-0:80/v1/chat/completions",
				Body:    []byte(`{"model":"draft","max_tokens":4,"messages":[{"role":"user","content":"x"}]}`),
				Headers: map[string]string{outcome.WorkspaceHeader: workspace, "Priority": "u=0"},
			})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = response.ReadBody()
			response.Close()
		}
		got := map[string]int64{}
		for _, engine := range s.engines {
			for priority, count := range engine.Counts().Priorities {
				got[priority] += count
			}
		}
		if diff := cmp.Diff(map[string]int64{"u=5": 1, "u=3": 1, "u=1": 2}, got); diff != "" {
			t.Errorf("chat completions by priority (-want +got):\n%s", diff)
		}
	})
}

// End-to-end headers pass in both directions, also in a repeated response. The test
// guards against dropping them; hop-by-hop headers are not forwarded.
func TestEndToEndHeadersAreForwarded(t *testing.T) {
	inBubble(t, func(s *system) {
		for range 2 {
			response, err := s.client.Do(upstream.Request{
				Method: "POST", URL: "http://entry-0:80/services/booking/book", Body: []byte(`{}`),
				Headers: map[string]string{outcome.IdempotencyKeyHeader: "headers", "Authorization": "Bearer aya", "Connection": "X-Hop", "X-Hop": "1"},
			})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = response.ReadBody()
			got := []string{response.Header("Location"), response.Header("X-Seen-Authorization")}
			response.Close()
			if diff := cmp.Diff([]string{"/bookings/headers", "Bearer aya"}, got); diff != "" {
				t.Errorf("headers (-want +got):\n%s", diff)
			}
			time.Sleep(time.Second)
		}
		if runs := s.runCount("headers"); runs != 1 {
			t.Errorf("booking ran %d times, want 1", runs)
		}
	})
}
