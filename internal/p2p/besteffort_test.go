package p2p_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/p2p"
)

// Guards against an instance with a small fan-out that turns away every request of an instance
// that is not its child, also while it sends nothing.
func TestIdleInstanceServesBestEffortRequests(t *testing.T) {
	for fanOut := 1; fanOut <= 8; fanOut++ {
		c := newCluster(t, 1, 1, 1)
		fetcher := c.fetchers[c.members[0].Name]
		fetcher.FanOut = fanOut
		digest := c.manifest.Chunks()[0]
		if err := fetcher.Store.Put(digest, c.chunks[digest]); err != nil {
			t.Fatal(err)
		}
		request := p2p.Request{Chunk: digest, BestEffort: true}
		served := 0
		for {
			_, err := fetcher.Serve(t.Context(), request)
			if err != nil {
				if !errors.Is(err, p2p.ErrBusy) {
					t.Fatal(err)
				}
				break
			}
			served++
		}
		if want := max(1, fanOut/2); served != want {
			t.Errorf("fan-out %d: %d best-effort requests were served at once, want %d", fanOut, served, want)
		}
	}
}
