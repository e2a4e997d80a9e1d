package system

import (
	"context"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

// sendStaleLoadOrder sends an engine the load order of an agent that was paused before a
// newer set was rolled out: it carries an old fencing number and old weights. It
// reports whether the engine accepts the order.
func (s *system) sendStaleLoadOrder(engine, set string, fencingNumber int64) bool {
	return s.engines[engine].Load(set, fencingNumber, []byte("weights of an old set"))
}

// A paused agent's load order arrives late. The test guards against an engine that
// checks fencing numbers accepting it.
func TestStaleLoadOrderIsRejectedByFencing(t *testing.T) {
	inBubble(t, func(s *system) {
		old := s.engines["draft-0-0"].Status()
		secondSet := s.rollOut("v2")
		s.awaitSet(secondSet)
		if s.sendStaleLoadOrder("draft-0-0", old.Set, old.FencingNumber) {
			t.Error("engine accepted a load order with an old fencing number")
		}
		requireComplete(t, s.runCallers(4, []int{0, 1, 2}, 2*time.Second))
		if got := s.engines["draft-0-0"].Status().Set; got != secondSet {
			t.Errorf("engine serves %s, want %s", got, secondSet)
		}
	})
}

// An engine that ignores fencing numbers accepts a late load order. The test guards
// against responses from the old set, and against an agent that does not load the
// wanted set again.
func TestStaleLoadOrderIsRevertedWithoutFencing(t *testing.T) {
	inBubble(t, func(s *system) {
		old := s.engines["draft-0-0"].Status()
		for _, engine := range s.engines {
			engine.IgnoresFencing = true
		}
		secondSet := s.rollOut("v2")
		s.awaitSet(secondSet)
		s.tasks.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, time.Second)
			if !s.sendStaleLoadOrder("draft-0-0", old.Set, old.FencingNumber) {
				t.Error("engine rejected the load order although it ignores fencing numbers")
			}
		})
		for _, got := range s.runCallers(6, []int{0, 1, 2}, 8*time.Second) {
			if got.complete && got.set != secondSet {
				t.Errorf("chat completion from the old set: %+v", got)
			}
			if got.err != nil {
				t.Errorf("chat completion without an explicit end: %+v", got)
			}
		}
		if got := s.engines["draft-0-0"].Status(); got.Set != secondSet || got.Content != s.contentDigest(secondSet).String() {
			t.Errorf("engine serves %s, want %s", got.Set, secondSet)
		}
	})
}

// An agent that cannot confirm its configuration must not send load orders, because
// the version it wants may have been replaced.
func TestIsolatedAgentSendsNoLoadOrders(t *testing.T) {
	inBubble(t, func(s *system) {
		const isolated = "draft-1-0"
		// A long completion keeps the engine busy, so that the swap does not start
		// before the agent is isolated.
		requests := concurrency.NewGroup(context.Background())
		requests.Go(func(context.Context) { s.longChatCompletion(isolated) })
		time.Sleep(100 * time.Millisecond)
		secondSet := s.rollOut("v2")
		time.Sleep(3 * time.Second)
		for _, name := range s.processNames {
			s.network.DisconnectControl(isolated, name)
		}
		s.network.Disconnect(isolated, "platform")
		loads := s.engines[isolated].Counts().Loads
		thirdSet := s.rollOut("v3")
		requests.Wait()
		time.Sleep(5 * time.Second)
		if got := s.engines[isolated].Counts().Loads - loads; got != 0 {
			t.Errorf("isolated agent sent %d load orders for %s, which %s had replaced", got, secondSet, thirdSet)
		}
	})
}

// longChatCompletion requests a chat completion of several seconds from a process
// and reads it.
func (s *system) longChatCompletion(process string) {
	response, err := s.client.Do(upstream.Request{
		Method: "POST", URL: "http://" + process + ":80/v1/chat/completions",
		Body: []byte(`{"model":"draft","max_tokens":800,"messages":[{"role":"user","content":"x"}]}`),
	})
	if err != nil {
		s.t.Error(err)
		return
	}
	defer response.Close()
	if _, err := response.ReadBody(); err != nil || response.Status() != 200 {
		s.t.Errorf("long chat completion: status %d, error %v", response.Status(), err)
	}
}

// awaitSet waits until every engine serves the set.
func (s *system) awaitSet(set string) {
	s.t.Helper()
	for range 100 {
		pending := false
		for _, engine := range s.engines {
			pending = pending || engine.Status().Set != set
		}
		if !pending {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Fatalf("engines do not serve %s", set)
}
