package weights_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// Guards against requests for chunks of an abandoned set that wait for their whole time and are
// then told to ask again.
func TestUnpinEndsWaitForChunk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		manifest, chunks := buildManifest(t, "v1", "aaaabbbb")
		store := weights.NewStore(bytesize.KiB)
		if err := store.Pin(manifest); err != nil {
			t.Fatal(err)
		}
		stored := manifest.Chunks()[0]
		if err := store.Put(stored, chunks[stored]); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		group := concurrency.NewGroup(ctx)
		group.Go(func(ctx context.Context) {
			_, err := store.Get(ctx, manifest.Chunks()[1])
			if waited := time.Since(start); !errors.Is(err, weights.ErrNotPinned) || waited != time.Second {
				t.Errorf("Get returned %v after %s, want ErrNotPinned after 1s", err, waited)
			}
		})
		time.Sleep(time.Second)
		store.Unpin(manifest.Digest())
		group.Wait()
	})
}
