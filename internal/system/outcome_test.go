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

// Whatever the engines do to answers, the caller gets a whole answer of its
// own or an explicit error.
func TestBrokenAnswersAreNeverPassedOn(t *testing.T) {
	faults := map[string]fakes.EngineFaults{
		"crossed":      {Misdirected: 2},
		"cut":          {Truncated: 2},
		"duplicated":   {Duplicated: 4},
		"another set":  {WrongWeights: 2},
		"all together": {Misdirected: 1, Truncated: 1, Duplicated: 1, WrongWeights: 1},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(s *system) {
				for _, engine := range s.engines {
					engine.SetFaults(fault)
				}
				whole := 0
				for range 20 {
					got := s.draft(0)
					if got.err != nil {
						t.Errorf("answer without an explicit end: %+v", got)
					}
					if got.whole {
						whole++
					}
				}
				if whole < 10 {
					t.Errorf("only %d of 20 drafts were whole", whole)
				}
			})
		})
	}
}

// A stream whose endpoint dies goes on at another endpoint with the same set.
func TestStreamIsResumedWhenItsEndpointDies(t *testing.T) {
	inBubble(t, func(s *system) {
		got := make(chan reply, 1)
		group := concurrency.NewGroup(context.Background())
		group.Go(func(context.Context) { got <- s.draft(0) })
		time.Sleep(120 * time.Millisecond)
		for name, engine := range s.engines {
			if engine.Status().InFlight > 0 {
				s.network.Disconnect(name, "entry-0")
			}
		}
		if answer := <-got; !answer.whole {
			t.Errorf("draft whose endpoint died: %+v", answer)
		}
		group.Wait()
	})
}

// The caller's leaving reaches the engine.
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
		if _, err := response.Line(); err != nil {
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
			t.Errorf("engines saw %d cancellations and have %d requests in flight, want 1 and 0", canceled, inFlight)
		}
	})
}

// bookUntilDone repeats a booking at one entry after the other.
func (s *system) bookUntilDone(key string, tries int) (answers []reply) {
	for try := range tries {
		got := s.book(try%zones, key)
		answers = append(answers, got)
		if got.outcome == outcome.Done {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return answers
}

// judgeBooking checks the answers that a caller got for one key against what
// the services ran.
func (s *system) judgeBooking(key string, answers []reply) {
	s.t.Helper()
	runs := s.runs(key)
	if runs > 1 {
		s.t.Errorf("booking %s ran %d times: %+v", key, runs, answers)
	}
	allNotRun := true
	for _, got := range answers {
		allNotRun = allNotRun && got.outcome == outcome.NotRun
		if got.outcome == outcome.Done && runs == 0 {
			s.t.Errorf("booking %s was answered but did not run", key)
		}
	}
	if allNotRun && runs > 0 {
		s.t.Errorf("booking %s ran although every answer said \"not run\"", key)
	}
}

func TestBookingRunsOnce(t *testing.T) {
	cases := map[string]func(s *system){
		"without faults":           func(*system) {},
		"store loses answers":      func(s *system) { s.objects.SetFaults(fakes.ObjectFaults{LoseResponses: 0.5}) },
		"store is down":            func(s *system) { s.objects.SetFaults(standinDown) },
		"store is slow":            func(s *system) { s.objects.SetFaults(fakes.ObjectFaults{Delay: 1500 * time.Millisecond}) },
		"services lose answers":    func(s *system) { s.serviceFaults(fakes.ServiceFaults{LoseResponses: 3}) },
		"services cross answers":   func(s *system) { s.serviceFaults(fakes.ServiceFaults{Misdirected: 3}) },
		"owner cannot be reached":  func(s *system) { s.network.Disconnect("entry-0", "entry-1", "entry-2") },
		"entry is cut from agents": func(s *system) { s.network.Disconnect("entry-0", "booking-0", "booking-1") },
		"entry is frozen":          func(s *system) { s.freezeEntry(0) },
		"store and services lose answers": func(s *system) {
			s.objects.SetFaults(fakes.ObjectFaults{LoseResponses: 0.3})
			s.serviceFaults(fakes.ServiceFaults{LoseResponses: 2})
		},
		"store is down, services lose answers": func(s *system) {
			s.objects.SetFaults(standinDown)
			s.serviceFaults(fakes.ServiceFaults{LoseResponses: 10})
		},
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(s *system) {
				fault(s)
				for index := range 12 {
					key := fmt.Sprintf("key-%d", index)
					answers := s.bookUntilDone(key, 4)
					s.judgeBooking(key, answers)
				}
				s.objects.SetFaults(fakes.ObjectFaults{})
			})
		})
	}
}

func (s *system) serviceFaults(faults fakes.ServiceFaults) {
	for _, service := range s.services {
		service.SetFaults(faults)
	}
}

// freezeEntry freezes an entry's paths to the agents for a while.
func (s *system) freezeEntry(entry int) {
	name := fmt.Sprintf("entry-%d", entry)
	s.network.Freeze(name, "booking-0", "booking-1", "booking-2")
	s.fakes.Go(func(ctx context.Context) {
		concurrency.Sleep(ctx, 5*time.Second)
		s.network.Unfreeze(name, "booking-0", "booking-1", "booking-2")
	})
}

// Two calls with one key at the same time, at two entries: one runs.
func TestConcurrentBookingsWithOneKeyRunOnce(t *testing.T) {
	inBubble(t, func(s *system) {
		for index := range 10 {
			key := fmt.Sprintf("race-%d", index)
			answers := make([]reply, zones)
			group := concurrency.NewGroup(context.Background())
			for entry := range zones {
				group.Go(func(context.Context) { answers[entry] = s.book(entry, key) })
			}
			group.Wait()
			s.judgeBooking(key, answers)
			if s.runs(key) != 1 {
				t.Errorf("booking %s ran %d times, want 1: %+v", key, s.runs(key), answers)
			}
		}
	})
}

// A repeated call gets the answer of the call that ran.
func TestRepeatedBookingGetsTheFirstAnswer(t *testing.T) {
	inBubble(t, func(s *system) {
		for range 3 {
			if got := s.book(0, "again"); got.outcome != outcome.Done || got.status != 201 {
				t.Errorf("repeated booking: %+v", got)
			}
			time.Sleep(time.Second)
		}
		if runs := s.runs("again"); runs != 1 {
			t.Errorf("booking ran %d times, want 1", runs)
		}
	})
}

// The engine learns how urgent a request is from the workspace's ticket, not
// from the caller.
func TestPriorityReachesTheEngine(t *testing.T) {
	inBubble(t, func(s *system) {
		s.file(ticket.Ticket{Workspaces: []ticket.Workspace{{Name: "low", Priority: 0, MaxShare: 100}, {Name: "high", Priority: 2, MaxShare: 100}}})
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
			_, _ = response.Body()
			response.Close()
		}
		got := map[string]int64{}
		for _, engine := range s.engines {
			for priority, count := range engine.Counts().Priorities {
				got[priority] += count
			}
		}
		if diff := cmp.Diff(map[string]int64{"u=5": 1, "u=3": 1, "u=1": 2}, got); diff != "" {
			t.Errorf("drafts by priority (-want +got):\n%s", diff)
		}
	})
}

// Headers from end to end pass in both directions, also in a repeated answer;
// those of a connection do not.
func TestHeadersPassFromEndToEnd(t *testing.T) {
	inBubble(t, func(s *system) {
		for range 2 {
			response, err := s.client.Do(upstream.Request{
				Method: "POST", URL: "http://entry-0:80/services/booking/book", Body: []byte(`{}`),
				Headers: map[string]string{outcome.IdempotencyKeyHeader: "headers", "Authorization": "Bearer aya", "Connection": "X-Hop", "X-Hop": "1"},
			})
			if err != nil {
				t.Fatal(err)
			}
			_, _ = response.Body()
			got := []string{response.Header("Location"), response.Header("X-Seen-Authorization")}
			response.Close()
			if diff := cmp.Diff([]string{"/bookings/headers", "Bearer aya"}, got); diff != "" {
				t.Errorf("headers (-want +got):\n%s", diff)
			}
			time.Sleep(time.Second)
		}
		if runs := s.runs("headers"); runs != 1 {
			t.Errorf("the booking ran %d times", runs)
		}
	})
}
