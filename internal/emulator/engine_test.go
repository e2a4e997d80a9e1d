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

// plain is an engine whose times are easy to add up: a step takes 10 ms, a thousand
// prompt tokens 100 ms.
var plain = configuration.Engine{Slots: 2, TokensPerEvent: 5, StepTime: 10 * time.Millisecond, PrefillRate: 10_000, PrefillChunkTokens: 2048}

// run submits requests at once and returns when each event came.
func run(t *testing.T, model configuration.Engine, queue int, submitted []*emulator.Request) (events [][]time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.NewEngine(model, queue)
		start := time.Now()
		group := concurrency.NewGroup(t.Context())
		events = make([][]time.Duration, len(submitted))
		for index, work := range submitted {
			work.OnEvent = func(emulator.Event) { events[index] = append(events[index], time.Since(start)) }
			if !engine.Submit(work) {
				t.Errorf("request %d was not taken", index)
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
	got := run(t, plain, 8, []*emulator.Request{{Prompt: 1000, Answer: 11}})
	want := [][]time.Duration{{110 * time.Millisecond, 160 * time.Millisecond, 210 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of events (-want +got):\n%s", diff)
	}
}

// The prompt of one request delays the events of those that write, and a request beyond
// the slots waits for the end of another one.
func TestPromptsDelayWriters(t *testing.T) {
	got := run(t, plain, 8, []*emulator.Request{{Prompt: 1000, Answer: 6}, {Prompt: 1000, Answer: 11}, {Prompt: 2000, Answer: 1}})
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
	small := plain
	small.Slots = 1
	got := run(t, small, 2, []*emulator.Request{{Prompt: 100, Answer: 1, Priority: 2}, {Prompt: 100, Answer: 1, Priority: 1}, {Prompt: 100, Answer: 1, Priority: 2}})
	want := [][]time.Duration{{40 * time.Millisecond}, {20 * time.Millisecond}, {60 * time.Millisecond}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("times of events (-want +got):\n%s", diff)
	}
	full := emulator.NewEngine(small, 1)
	var taken []bool
	for range 3 {
		taken = append(taken, full.Submit(&emulator.Request{Prompt: 100, Answer: 1}))
	}
	if diff := cmp.Diff([]bool{true, true, false}, taken); diff != "" {
		t.Errorf("requests taken (-want +got):\n%s", diff)
	}
}

// A request that was cancelled gets no more events and frees its place.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := emulator.NewEngine(plain, 8)
		group := concurrency.NewGroup(t.Context())
		group.Go(engine.Run)
		events := 0
		work := &emulator.Request{Prompt: 1000, Answer: 1000, OnEvent: func(emulator.Event) { events++ }}
		engine.Submit(work)
		time.Sleep(200 * time.Millisecond)
		engine.Cancel(work)
		time.Sleep(time.Second)
		if running, waiting := engine.Load(); events != 2 || running+waiting != 0 {
			t.Errorf("%d events, %d running and %d waiting after the end, want 2, 0 and 0", events, running, waiting)
		}
		group.Stop()
		group.Wait()
	})
}
