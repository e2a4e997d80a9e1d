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

	"github.com/mimosaward/mimosaward/internal/agent"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// addresses asks an entry which entries a caller of the zone should use.
func (s *system) addresses(entry int, zone string) (list []string, keep int) {
	s.t.Helper()
	response, err := s.client.Do(upstream.Request{
		Method: "GET", URL: fmt.Sprintf("http://entry-%d:80/v1/addresses?availabilityZone=%s&region=%s", entry, zone, zone),
	})
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Close()
	body, err := response.Body()
	var answer struct {
		Addresses   []struct{ Address string }
		KeepSeconds int
	}
	if err != nil || json.Unmarshal(body, &answer) != nil {
		s.t.Fatalf("addresses: %v, %s", err, body)
	}
	for _, found := range answer.Addresses {
		list = append(list, found.Address)
	}
	return list, answer.KeepSeconds
}

func TestAddressesAreNearAndInService(t *testing.T) {
	inBubble(t, func(s *system) {
		near, keep := s.addresses(0, zoneName(2))
		if near[0] != "entry-2:80" || len(near) != zones || keep != 2 {
			t.Errorf("addresses for a caller in %s: %v, kept for %d s", zoneName(2), near, keep)
		}
		s.zone(2, false)
		time.Sleep(leaveBound)
		left, _ := s.addresses(0, zoneName(2))
		slices.Sort(left)
		if diff := cmp.Diff([]string{"entry-0:80", "entry-1:80"}, left); diff != "" {
			t.Errorf("addresses while %s is out (-want +got):\n%s", zoneName(2), diff)
		}
	})
}

// An entry that stops is left out while it still finishes its work.
func TestAddressesLeaveOutStoppingEntries(t *testing.T) {
	inBubble(t, func(s *system) {
		busy := concurrency.NewGroup(context.Background())
		busy.Go(func(context.Context) { s.longDraft("entry-1") })
		time.Sleep(100 * time.Millisecond)
		s.nodes["entry-1"].stop()
		time.Sleep(leaveBound)
		left, _ := s.addresses(0, zoneName(1))
		slices.Sort(left)
		if diff := cmp.Diff([]string{"entry-0:80", "entry-2:80"}, left); diff != "" {
			t.Errorf("addresses while entry-1 stops (-want +got):\n%s", diff)
		}
		busy.Wait()
	})
}

// Among entries at one distance the less loaded come first.
func TestAddressesPreferLessLoadedEntries(t *testing.T) {
	inBubble(t, func(s *system) {
		busy := concurrency.NewGroup(context.Background())
		for range 20 {
			busy.Go(func(context.Context) { s.longDraft("entry-0") })
		}
		time.Sleep(leaveBound)
		if got, _ := s.addresses(1, "elsewhere"); got[len(got)-1] != "entry-0:80" {
			t.Errorf("addresses while entry-0 is busy: %v", got)
		}
		busy.Wait()
	})
}

// Endpoints that fail every request must not get many times the load.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, engine := range s.engines {
			engine.SetFaults(fakes.EngineFaults{WrongWeights: 1 << 20})
		}
		const drafts, retryPercent, burst = 200, 20, 10
		before := s.work(0) + s.work(1) + s.work(2)
		for range drafts {
			if got := s.draft(0); got.whole {
				t.Errorf("draft from engines that all fail: %+v", got)
			}
		}
		work := s.work(0) + s.work(1) + s.work(2) - before
		if bound := int64(drafts + drafts*retryPercent/100 + burst); work > bound {
			t.Errorf("engines got %d requests for %d drafts, bound %d", work, drafts, bound)
		}
	})
}

// An endpoint whose answers end after their header costs an explicit error at
// most, also when the retries are used up.
func TestAnswerThatEndsAfterItsHeader(t *testing.T) {
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
		time.Sleep(leaveBound)
		for range 60 {
			if got := s.draft(0); !got.whole && got.outcome != outcome.Unknown {
				t.Errorf("draft near an endpoint that breaks its answers: %+v", got)
			}
			time.Sleep(2 * time.Second)
		}
	})
}

// A request that the engine refuses as wrong is answered with the engine's own
// words, and offered to no other engine.
func TestWrongRequestGetsTheEnginesAnswer(t *testing.T) {
	inBubble(t, func(s *system) {
		response := s.wrongDraft("entry-0")
		defer response.Close()
		body, _ := response.Body()
		rejected := int64(0)
		for _, engine := range s.engines {
			rejected += engine.Counts().Rejected
		}
		got := []any{response.Status(), response.Header(outcome.Header), string(body), rejected}
		want := []any{400, string(outcome.Done), `{"error":{"message":"max_tokens is above 4096"}}`, int64(1)}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("status, outcome, body and refusals (-want +got):\n%s", diff)
		}
	})
}

// wrongDraft asks for more tokens than an engine writes.
func (s *system) wrongDraft(process string) *upstream.Response {
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

// A cold engine refuses a wrong request quickly; that does not make it warm.
func TestWrongRequestDoesNotWarmAnEndpoint(t *testing.T) {
	inBubble(t, func(s *system) {
		s.engines["draft-0-0"].EnterColdStart()
		time.Sleep(700 * time.Millisecond)
		for range 3 {
			response := s.wrongDraft("draft-0-0")
			load, _ := agent.ParseLoad(response.Header(agent.LoadHeader))
			if response.Status() != 400 || !load.Cold {
				t.Errorf("cold endpoint after a wrong request: status %d, load %+v", response.Status(), load)
			}
			response.Close()
		}
	})
}
