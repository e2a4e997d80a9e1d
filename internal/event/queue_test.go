package event_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
)

// stuck is an output that takes nothing until it is released.
type stuck struct{ released chan struct{} }

func (s *stuck) Write(data []byte) (int, error) {
	<-s.released
	return len(data), nil
}

func newLogger(t *testing.T, out io.Writer) *event.Logger {
	t.Helper()
	log, err := event.NewLogger(out, "json", "info", "edge-1")
	if err != nil {
		t.Fatal(err)
	}
	return log.Queued()
}

// A flood is written up to the bound, the rest is counted, and nobody waits.
func TestFloodIsSummedUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := newLogger(t, &out)
		const flood = 5000
		for range flood {
			log.Emit(event.RequestSent, event.Fields{})
		}
		log.Emit(event.ConfigurationApplied, event.Fields{"version": 7})
		group := concurrency.NewGroup(t.Context())
		group.Go(log.Run)
		time.Sleep(3 * time.Second)
		group.Stop()
		group.Wait()
		written, summed, others := 0, 0, 0
		for line := range strings.Lines(out.String()) {
			var record struct {
				Event int `json:"event"`
				Of    int `json:"of"`
				Count int `json:"count"`
			}
			if err := json.Unmarshal([]byte(line), &record); err != nil {
				t.Fatal(err)
			}
			switch record.Event {
			case event.RequestSent.Number():
				written++
			case event.RecordsSuppressed.Number():
				summed += record.Count
			default:
				others++
			}
		}
		if diff := cmp.Diff([]int{flood, 1}, []int{written + summed, others}); diff != "" {
			t.Errorf("records written and summed up, and those of other events (-want +got):\n%s", diff)
		}
		if written > 400 {
			t.Errorf("%d records of one event were written at once, want at most 400", written)
		}
	})
}

// An output that takes nothing stops nobody who logs, and costs a bounded memory.
func TestLoggingNeverWaitsForTheOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{released: make(chan struct{})}
		log := newLogger(t, out)
		group := concurrency.NewGroup(t.Context())
		group.Go(log.Run)
		start := time.Now()
		for range 100 {
			for _, kind := range event.Catalogue() {
				log.Emit(kind, event.Fields{})
			}
			time.Sleep(time.Second)
		}
		if took := time.Since(start); took != 100*time.Second {
			t.Errorf("logging took %s beside its pauses", took-100*time.Second)
		}
		close(out.released)
		group.Stop()
		group.Wait()
	})
}

func TestRecordsLeftAreWrittenAtTheEnd(t *testing.T) {
	var out bytes.Buffer
	log := newLogger(t, &out)
	log.Emit(event.DrainEnded, event.Fields{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	log.Run(ctx)
	if !strings.Contains(out.String(), "drain ended") {
		t.Errorf("the last record is missing: %q", out.String())
	}
}
