package system

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/agent"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// addresses requests from an entry the list of entries that a caller in the zone
// should use.
func (s *system) addresses(entry int, zone string) (addresses []string, keepSeconds int) {
	s.t.Helper()
	response, err := s.client.Do(upstream.Request{
		Method: "GET", URL: fmt.Sprintf("http://entry-%d:80/v1/addresses?availabilityZone=%s&region=%s", entry, zone, zone),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Close()
	body, err := response.ReadBody()
	var directory struct {
		Addresses   []struct{ Address string }
		KeepSeconds int
	}
	if err != nil || json.Unmarshal(body, &directory) != nil {
		s.t.Fatalf("read or decode addresses: %v, body %s", err, body)
	}
	for _, item := range directory.Addresses {
		addresses = append(addresses, item.Address)
	}
	return addresses, directory.KeepSeconds
}

func TestAddressesAreNearAndInService(t *testing.T) {
	inBubble(t, func(s *system) {
		addresses, keepSeconds := s.addresses(0, zoneName(2))
		if addresses[0] != "entry-2:80" || len(addresses) != zoneCount || keepSeconds != 2 {
			t.Errorf("addresses for a caller in %s: %v with a TTL of %d s", zoneName(2), addresses, keepSeconds)
		}
		s.setZoneInService(2, false)
		time.Sleep(zoneEvacuationBound)
		remaining, _ := s.addresses(0, zoneName(2))
		slices.Sort(remaining)
		if diff := cmp.Diff([]string{"entry-0:80", "entry-1:80"}, remaining); diff != "" {
			t.Errorf("addresses while %s is out of service (-want +got):\n%s", zoneName(2), diff)
		}
	})
}

// The test guards against callers being sent to an entry that is shutting down and
// still completes its requests.
func TestAddressesExcludeStoppingEntries(t *testing.T) {
	inBubble(t, func(s *system) {
		requests := concurrency.NewGroup(context.Background())
		requests.Go(func(context.Context) { s.longChatCompletion("entry-1") })
		time.Sleep(100 * time.Millisecond)
		s.processes["entry-1"].stop()
		time.Sleep(zoneEvacuationBound)
		remaining, _ := s.addresses(0, zoneName(1))
		slices.Sort(remaining)
		if diff := cmp.Diff([]string{"entry-0:80", "entry-2:80"}, remaining); diff != "" {
			t.Errorf("addresses while entry-1 stops (-want +got):\n%s", diff)
		}
		requests.Wait()
	})
}

// Guards against callers being sent to an entry that has been stopping for longer than its stop
// assumes, because the entry that they asked waits for one frozen entry after another.
func TestAddressesExcludeStoppingEntriesDespiteFrozenOnes(t *testing.T) {
	inBubble(t, func(s *system) {
		for index := zoneCount; index < zoneCount+frozenEntries; index++ {
			s.startEntry(index)
		}
		time.Sleep(startupTime)
		for index := zoneCount; index < zoneCount+frozenEntries; index++ {
			s.network.Freeze(fmt.Sprintf("entry-%d", index), "entry-0")
		}
		time.Sleep(startupTime)
		requests := concurrency.NewGroup(context.Background())
		requests.Go(func(context.Context) { s.longChatCompletion("entry-1") })
		time.Sleep(100 * time.Millisecond)
		s.processes["entry-1"].stop()
		time.Sleep(stopNoticeBound)
		if remaining, _ := s.addresses(0, zoneName(1)); slices.Contains(remaining, "entry-1:80") {
			t.Errorf("addresses %s after entry-1 began to stop: %v", stopNoticeBound, remaining)
		}
		for index := zoneCount; index < zoneCount+frozenEntries; index++ {
			s.network.Unfreeze(fmt.Sprintf("entry-%d", index), "entry-0")
		}
		requests.Wait()
	})
}

const (
	// frozenEntries is fewer than the entries whose load one entry polls.
	frozenEntries = 12
	// stopNoticeBound is the time after which a stopping entry assumes that the others have
	// noticed: the pause between their polls and the timeout of a call.
	stopNoticeBound = 3 * time.Second
)

// Entries at the same distance are ordered by load. The test guards against a busy
// entry being listed before idle ones.
func TestAddressesPreferLessLoadedEntries(t *testing.T) {
	inBubble(t, func(s *system) {
		requests := concurrency.NewGroup(context.Background())
		for range 20 {
			requests.Go(func(context.Context) { s.longChatCompletion("entry-0") })
		}
		time.Sleep(zoneEvacuationBound)
		if got, _ := s.addresses(1, "elsewhere"); got[len(got)-1] != "entry-0:80" {
			t.Errorf("addresses while entry-0 is busy: %v", got)
		}
		requests.Wait()
	})
}

// The test guards against retries that multiply the load when all endpoints fail
// every request.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, engine := range s.engines {
			engine.SetFaults(fakes.EngineFaults{WrongWeights: 1 << 20})
		}
		const requests, retryPercent, burst = 200, 20, 10
		before := s.zoneRequests(0) + s.zoneRequests(1) + s.zoneRequests(2)
		for range requests {
			if got := s.chatCompletion(0); got.complete {
				t.Errorf("chat completion from engines that all fail: %+v", got)
			}
		}
		received := s.zoneRequests(0) + s.zoneRequests(1) + s.zoneRequests(2) - before
		if bound := int64(requests + requests*retryPercent/100 + burst); received > bound {
			t.Errorf("engines received %d requests for %d chat completions, bound %d", received, requests, bound)
		}
	})
}

// An endpoint's responses end after the header. The test guards against callers
// that receive neither a complete response nor an explicit error, in particular when
// the retry budget is used up.
func TestResponseThatEndsAfterItsHeader(t *testing.T) {
	inBubble(t, func(s *system) {
		set := s.engines["draft-0-0"].Status().Set
		app := fiber.New()
		app.Post("/v1/chat/completions", func(c fiber.Ctx) error {
			c.Set(outcome.WeightSetHeader, set)
			return c.SendString("")
		})
		s.serve("broken", "broken:80", app)
		s.instances.Set(membership.Instance{
			Name: "broken", Role: membership.AgentRole, AvailabilityZone: zoneName(0), Region: zoneName(0), Status: membership.Live,
			Pool: "drafting", WorkAddress: "broken:80", ControlAddress: "broken:81",
		})
		time.Sleep(zoneEvacuationBound)
		for range 60 {
			if got := s.chatCompletion(0); !got.complete && got.outcome != outcome.Unknown {
				t.Errorf("chat completion with an endpoint that truncates its responses: %+v", got)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// The engine rejects an invalid request. The test guards against replacing the
// engine's error response and against retrying the request at other engines.
func TestInvalidRequestReturnsTheEnginesError(t *testing.T) {
	inBubble(t, func(s *system) {
		response := s.invalidChatCompletion("entry-0")
		defer response.Close()
		body, _ := response.ReadBody()
		rejected := int64(0)
		for _, engine := range s.engines {
			rejected += engine.Counts().Rejected
		}
		got := []any{response.Status(), response.Header(outcome.Header), string(body), rejected}
		want := []any{400, string(outcome.Done), `{"error":{"message":"max_tokens is above 4096"}}`, int64(1)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("status, outcome, body and number of rejections (-want +got):\n%s", diff)
		}
	})
}

// invalidChatCompletion requests more tokens than an engine allows.
func (s *system) invalidChatCompletion(process string) *upstream.Response {
	s.t.Helper()
	response, err := s.client.Do(upstream.Request{
		Method: "POST", URL: "http://" + process + ":80/v1/chat/completions",
		Body: []byte(`{"model":"draft","max_tokens":100000,"messages":[{"role":"user","content":"x"}]}`),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return response
}

// A cold engine rejects an invalid request quickly. The test guards against taking
// that short response time as a sign that the engine is warm.
func TestInvalidRequestDoesNotMarkAnEndpointWarm(t *testing.T) {
	inBubble(t, func(s *system) {
		s.engines["draft-0-0"].EnterColdStart()
		time.Sleep(700 * time.Millisecond)
		for range 3 {
			response := s.invalidChatCompletion("draft-0-0")
			load, _ := agent.ParseLoad(response.Header(agent.LoadHeader))
			if response.Status() != 400 || !load.Cold {
				t.Errorf("cold endpoint after an invalid request: status %d, load %+v", response.Status(), load)
			}
			response.Close()
		}
	})
}

// Guards against an endpoint that stays at its full limit although its responses fail before
// their first event.
func TestFailedFirstEventMarksAnEndpointCold(t *testing.T) {
	inBubble(t, func(s *system) {
		const body = `{"model":"draft","max_tokens":5,"messages":[{"role":"user","content":"x"}]}`
		send := func() (admission.Load, int) {
			response, err := s.client.Do(upstream.Request{
				Method: "POST", URL: "http://draft-0-0:80/v1/chat/completions", Body: []byte(body), Headers: map[string]string{outcome.RequestIDHeader: "r"},
			})
			if err != nil {
				t.Fatal(err)
			}
			defer response.Close()
			_, _ = response.ReadBody()
			load, _ := agent.ParseLoad(response.Header(agent.LoadHeader))
			return load, response.Status()
		}
		send()
		if before, status := send(); before.Cold || status != 200 {
			t.Fatalf("before the failure: status %d, load %+v, want a warm endpoint", status, before)
		}
		s.engines["draft-0-0"].SetFaults(fakes.EngineFaults{WrongWeights: 1})
		if after, status := send(); !after.Cold || status != 502 {
			t.Errorf("after a response whose first event is from other weights: status %d, load %+v, want a cold endpoint", status, after)
		}
		send()
		if after, status := send(); after.Cold || status != 200 {
			t.Errorf("after a response in time: status %d, load %+v, want a warm endpoint", status, after)
		}
	})
}
