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

// simpleConfig is an engine with simple times: a step takes 10 ms and the prefill of 1000
// tokens takes 100 ms.
var simpleConfig = configuration.Engine{Slots: 2, TokensPerEvent: 5, StepTime: 10 * time.Millisecond, PrefillRate: 10_000, PrefillChunkTokens: 2048}

// submitAll submits all requests at the same time. For each request it returns the times of
// its events since then.
func submitAll(t *testing.T, config configuration.Engine, queueCapacity int, submitted []*emulator.Request) (events [][]time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.NewEngine(config, queueCapacity)
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

// A prompt is processed in its own pass, which generates the first token. Each further pass
// generates as many tokens as it has steps.
func TestPasses(t *testing.T) {
	got := submitAll(t, simpleConfig, 8, []*emulator.Request{{PromptTokens: 1000, AnswerTokens: 11}})
	want := [][]time.Duration{{110 * time.Millisecond, 160 * time.Millisecond, 210 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of events (-want +got):\n%s", diff)
	}
}

// The prefill of one request delays the events of requests that are decoding, and a request
// beyond the slots is queued until another one finishes.
func TestPrefillDelaysDecoding(t *testing.T) {
	got := submitAll(t, simpleConfig, 8, []*emulator.Request{{PromptTokens: 1000, AnswerTokens: 6}, {PromptTokens: 1000, AnswerTokens: 11}, {PromptTokens: 2000, AnswerTokens: 1}})
	want := [][]time.Duration{
		{210 * time.Millisecond, 260 * time.Millisecond},
		{210 * time.Millisecond, 260 * time.Millisecond, 510 * time.Millisecond},
		{510 * time.Millisecond},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of events (-want +got):\n%s", diff)
	}
}

// A request precedes queued requests of lower priority, and an engine with a full queue
// refuses requests.
func TestQueue(t *testing.T) {
	singleSlot := simpleConfig
	singleSlot.Slots = 1
	got := submitAll(t, singleSlot, 2, []*emulator.Request{{PromptTokens: 100, AnswerTokens: 1, Priority: 2}, {PromptTokens: 100, AnswerTokens: 1, Priority: 1}, {PromptTokens: 100, AnswerTokens: 1, Priority: 2}})
	want := [][]time.Duration{{40 * time.Millisecond}, {20 * time.Millisecond}, {60 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of events (-want +got):\n%s", diff)
	}
	full := emulator.NewEngine(singleSlot, 1)
	var accepted []bool
	for range 3 {
		accepted = append(accepted, full.Submit(&emulator.Request{PromptTokens: 100, AnswerTokens: 1}))
	}
	if diff := cmp.Diff([]bool{true, true, false}, accepted); diff != "" {
		t.Errorf("requests accepted (-want +got):\n%s", diff)
	}
}

// A canceled request gets no further events and releases its slot.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.NewEngine(simpleConfig, 8)
		group := concurrency.NewGroup(t.Context())
		group.Go(engine.Run)
		events := 0
		req := &emulator.Request{PromptTokens: 1000, AnswerTokens: 1000, OnEvent: func(emulator.Event) { events++ }}
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
