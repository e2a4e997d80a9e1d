package system

import (
	"context"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

// orderOldSet gives an engine the order of an agent that was paused before a
// newer set was rolled out: an old fencing number and old weights.
func (s *system) orderOldSet(engine, set string, fence int64) bool {
	return s.engines[engine].Load(set, fence, []byte("weights of an old set"))
}

// A paused agent's order arrives late. An engine that checks fencing numbers
// refuses it.
func TestOldOrderIsRefusedByItsNumber(t *testing.T) {
	inBubble(t, func(s *system) {
		old := s.engines["draft-0-0"].Status()
		second := s.rollOut("v2")
		s.awaitSet(second)
		if s.orderOldSet("draft-0-0", old.Set, old.Fence) {
			t.Error("engine took an order with an old fencing number")
		}
		requireWhole(t, s.callers(4, []int{0, 1, 2}, 2*time.Second))
		if got := s.engines["draft-0-0"].Status().Set; got != second {
			t.Errorf("engine serves %s, want %s", got, second)
		}
	})
}

// An engine that ignores fencing numbers takes the late order. Nobody is
// answered from the old set, and its agent loads the wanted one again.
func TestOldOrderIsUndoneWhereNumbersAreIgnored(t *testing.T) {
	inBubble(t, func(s *system) {
		old := s.engines["draft-0-0"].Status()
		for _, engine := range s.engines {
			engine.IgnoresFencing = true
		}
		second := s.rollOut("v2")
		s.awaitSet(second)
		s.fakes.Go(func(ctx context.Context) {
			concurrency.Sleep(ctx, time.Second)
			if !s.orderOldSet("draft-0-0", old.Set, old.Fence) {
				t.Error("engine refused the order, though it ignores fencing numbers")
			}
		})
		for _, got := range s.callers(6, []int{0, 1, 2}, 8*time.Second) {
			if got.whole && got.set != second {
				t.Errorf("draft from the old set: %+v", got)
			}
			if got.err != nil {
				t.Errorf("draft without an explicit end: %+v", got)
			}
		}
		if got := s.engines["draft-0-0"].Status(); got.Set != second || got.Content != s.contentOf(second).String() {
			t.Errorf("engine serves %s, want %s", got.Set, second)
		}
	})
}

// An agent that cannot confirm its configuration orders nothing: what it wants
// may have been replaced.
func TestIsolatedAgentOrdersNothing(t *testing.T) {
	inBubble(t, func(s *system) {
		const isolated = "draft-1-0"
		// A long draft keeps the engine busy, so that the swap waits past the
		// isolation.
		busy := concurrency.NewGroup(context.Background())
		busy.Go(func(context.Context) { s.longDraft(isolated) })
		time.Sleep(100 * time.Millisecond)
		second := s.rollOut("v2")
		time.Sleep(3 * time.Second)
		for _, name := range s.names {
			s.network.DisconnectControl(isolated, name)
		}
		s.network.Disconnect(isolated, "platform")
		loads := s.engines[isolated].Counts().Loads
		third := s.rollOut("v3")
		busy.Wait()
		time.Sleep(5 * time.Second)
		if got := s.engines[isolated].Counts().Loads - loads; got != 0 {
			t.Errorf("isolated agent ordered %d loads of %s, which %s had replaced", got, second, third)
		}
	})
}

// longDraft asks an agent for a draft of several seconds and reads it.
func (s *system) longDraft(agent string) {
	response, err := s.client.Do(upstream.Request{
		Method: "POST", URL: "http://" + agent + ":80/v1/chat/completions",
		Body: []byte(`{"model":"draft","max_tokens":800,"messages":[{"role":"user","content":"x"}]}`),
	})
	if err != nil {
		s.t.Error(err)
		return
	}
	defer response.Close()
	if _, err := response.Body(); err != nil || response.Status() != 200 {
		s.t.Errorf("long draft: status %d, %v", response.Status(), err)
	}
}

// awaitSet waits until every engine serves the set.
func (s *system) awaitSet(set string) {
	s.t.Helper()
	for range 100 {
		waiting := false
		for _, engine := range s.engines {
			waiting = waiting || engine.Status().Set != set
		}
		if !waiting {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Fatalf("engines do not serve %s", set)
}
