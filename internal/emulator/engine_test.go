package emulator_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/emulator"
)

// simpleModel is an engine whose times are easy to add up: a step takes 10 ms, a thousand
// prompt tokens 100 ms.
var simpleModel = configuration.Engine{Slots: 2, TokensPerEvent: 5, StepTime: 10 * time.Millisecond, PrefillRate: 10_000, PrefillChunkTokens: 2048}

// submitAll submits requests at once and returns when each event came.
func submitAll(t *testing.T, model configuration.Engine, queueCapacity int, submitted []*emulator.Request) (events [][]time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.NewEngine(model, queueCapacity)
		start := time.Now()
		group := concurrency.NewGroup(t.Context())
		events = make([][]time.Duration, len(submitted))
		for index, req := range submitted {
			req.OnEvent = func(emulator.Event) { events[index] = append(events[index], time.Since(start)) }
			if !engine.Submit(req) {
				t.Errorf("request %d was not accepted", index)
			}
		}
		group.Go(engine.Run)
		time.Sleep(time.Minute)
		group.Stop()
		group.Wait()
	})
	return events
}

// A prompt is read in its own pass, which yields the first token; each further pass
// writes as many tokens as it has steps.
func TestPasses(t *testing.T) {
	got := submitAll(t, simpleModel, 8, []*emulator.Request{{Prompt: 1000, Answer: 11}})
	want := [][]time.Duration{{110 * time.Millisecond, 160 * time.Millisecond, 210 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of events (-want +got):\n%s", diff)
	}
}

// The prompt of one request delays the events of those that write, and a request beyond
// the slots waits for the end of another one.
func TestPrefillDelaysDecoding(t *testing.T) {
	got := submitAll(t, simpleModel, 8, []*emulator.Request{{Prompt: 1000, Answer: 6}, {Prompt: 1000, Answer: 11}, {Prompt: 2000, Answer: 1}})
	want := [][]time.Duration{
		{210 * time.Millisecond, 260 * time.Millisecond},
		{210 * time.Millisecond, 260 * time.Millisecond, 510 * time.Millisecond},
		{510 * time.Millisecond},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of events (-want +got):\n%s", diff)
	}
}

// A request goes before those of lower rank that wait, and a full engine takes none.
func TestQueue(t *testing.T) {
	singleSlot := simpleModel
	singleSlot.Slots = 1
	got := submitAll(t, singleSlot, 2, []*emulator.Request{{Prompt: 100, Answer: 1, Priority: 2}, {Prompt: 100, Answer: 1, Priority: 1}, {Prompt: 100, Answer: 1, Priority: 2}})
	want := [][]time.Duration{{40 * time.Millisecond}, {20 * time.Millisecond}, {60 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of events (-want +got):\n%s", diff)
	}
	full := emulator.NewEngine(singleSlot, 1)
	var accepted []bool
	for range 3 {
		accepted = append(accepted, full.Submit(&emulator.Request{Prompt: 100, Answer: 1}))
	}
	if diff := cmp.Diff([]bool{true, true, false}, accepted); diff != "" {
		t.Errorf("requests accepted (-want +got):\n%s", diff)
	}
}

// A request that was cancelled gets no more events and frees its place.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.NewEngine(simpleModel, 8)
		group := concurrency.NewGroup(t.Context())
		group.Go(engine.Run)
		events := 0
		req := &emulator.Request{Prompt: 1000, Answer: 1000, OnEvent: func(emulator.Event) { events++ }}
		engine.Submit(req)
		time.Sleep(200 * time.Millisecond)
		engine.Cancel(req)
		time.Sleep(time.Second)
		if running, waiting := engine.Load(); events != 2 || running+waiting != 0 {
			t.Errorf("%d events, %d running and %d waiting after the end, want 2, 0 and 0", events, running, waiting)
		}
		group.Stop()
		group.Wait()
	})
}
