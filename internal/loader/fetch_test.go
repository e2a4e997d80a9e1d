package loader

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// warnings passes on the records of warnings while there is room.
type warnings chan string

// Write implements io.Writer.
func (w warnings) Write(record []byte) (int, error) {
	if strings.Contains(string(record), "level=warning") {
		select {
		case w <- string(record):
		default:
		}
	}
	return len(record), nil
}

// Guards against a failed fetch whose record sends operators to the manifest although the
// manifest is there.
func TestFailedFetchNamesNoManifest(t *testing.T) {
	const originAddress = "10.9.0.1:90"
	network := fakes.NewNetwork()
	origin := &platformtest.Origin{Model: "draft", Chunks: 2, ChunkBytes: 64, NewestVersion: 2}
	listener, err := network.ForProcess("origin").Listen(originAddress)
	if err != nil {
		t.Fatal(err)
	}
	group := concurrency.NewGroup(t.Context())
	group.Go(func(ctx context.Context) { platformtest.Serve(ctx, listener, origin.Handle) })
	records := make(warnings, 1)
	log, err := event.NewLogger(records, "text", "info", "loader")
	if err != nil {
		t.Fatal(err)
	}
	l := &Loader{Log: log, Registry: prometheus.NewRegistry(), Dial: network.ForProcess("loader").Dial}
	l.prepare()
	l.store = weights.NewStore(64)
	l.status.set(engine.Status{}, true)
	l.plans.merge(Plan{Model: ModelPart{Version: 1, Model: origin.Model, Chunks: origin.Chunks, Origin: originAddress}, Wanted: WantedPart{Version: 2}})
	group.Go(l.fetchLoop)
	if got, want := <-records, fmt.Sprint("event=", event.FetchFailed.Number()); !strings.Contains(got, want) {
		t.Errorf("record of a set that does not fit into the memory, want one with %s:\n%s", want, got)
	}
	group.Stop()
	network.CloseConnections("loader")
	group.Wait()
}
