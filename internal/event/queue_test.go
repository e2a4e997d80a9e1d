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

// blockingWriter is an output that blocks until released is closed.
type blockingWriter struct{ released chan struct{} }

func (s *blockingWriter) Write(data []byte) (int, error) {
	<-s.released
	return len(data), nil
}

func newQueuedLogger(t *testing.T, out io.Writer) *event.Logger {
	t.Helper()
	log, err := event.NewLogger(out, "json", "info", "edge-1")
	if err != nil {
		t.Fatal(err)
	}
	return log.Queued()
}

// Records of an event are written up to its burst limit, the rest are counted, and records
// of other events are not affected.
func TestEventRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := newQueuedLogger(t, &out)
		const emitted = 5000
		for range emitted {
			log.Emit(event.RequestSent, event.Fields{})
		}
		log.Emit(event.ConfigurationApplied, event.Fields{"version": 7})
		group := concurrency.NewGroup(t.Context())
		group.Go(log.Run)
		time.Sleep(3 * time.Second)
		group.Stop()
		group.Wait()
		written, suppressed, others := 0, 0, 0
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
				suppressed += record.Count
			default:
				others++
			}
		}
		if diff := cmp.Diff([]int{emitted, 1}, []int{written + suppressed, others}); diff != "" {
			t.Errorf("written and suppressed records, and records of other events (-want +got):\n%s", diff)
		}
		if written > 400 {
			t.Errorf("%d records of one event were written at once, want at most 400", written)
		}
	})
}

// Emit does not block while the output blocks, since the queue is bounded and drops
// records when it is full.
func TestEmitDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockingWriter{released: make(chan struct{})}
		log := newQueuedLogger(t, out)
		group := concurrency.NewGroup(t.Context())
		group.Go(log.Run)
		start := time.Now()
		for range 100 {
			for _, e := range event.Catalogue() {
				log.Emit(e, event.Fields{})
			}
			time.Sleep(time.Second)
		}
		if elapsed := time.Since(start); elapsed != 100*time.Second {
			t.Errorf("logging took %s in addition to its pauses", elapsed-100*time.Second)
		}
		close(out.released)
		group.Stop()
		group.Wait()
	})
}

func TestRunFlushesQueue(t *testing.T) {
	var out bytes.Buffer
	log := newQueuedLogger(t, &out)
	log.Emit(event.DrainEnded, event.Fields{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	log.Run(ctx)
	if !strings.Contains(out.String(), "drain ended") {
		t.Errorf("the queued record is missing: %q", out.String())
	}
}
