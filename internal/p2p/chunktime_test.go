package p2p

import (
	"testing"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// Guards against chunks that another worker has stored in the meantime and that count as
// fetched in no time: workers then leave their preferred sources too early.
func TestStoredChunkHasNoFetchTime(t *testing.T) {
	data := []byte("chunk")
	digest := weights.Sum(data)
	manifest, _, err := weights.NewManifest("draft", "2", len(data), []weights.Digest{digest})
	if err != nil {
		t.Fatal(err)
	}
	store := weights.NewStore(bytesize.MiB)
	if err := store.Pin(manifest); err != nil {
		t.Fatal(err)
	}
	if err := store.Put(digest, data); err != nil {
		t.Fatal(err)
	}
	d := &download{fetcher: &Fetcher{Store: store, Timing: DefaultTiming()}, manifest: manifest}
	for range 10 {
		d.fetchChunk(t.Context(), 0, false)
	}
	if got := d.preferredTimeout(); got != d.fetcher.Timing.InitialPreferredTimeout || d.averageChunkTime != 0 {
		t.Errorf("the average time of no fetched chunk is %s and a worker waits %s for its preferred source, want 0 and %s",
			d.averageChunkTime, got, d.fetcher.Timing.InitialPreferredTimeout)
	}
}
