package weights_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// buildManifest returns the manifest and the chunks of a set with the given content.
func buildManifest(t *testing.T, version, text string) (*weights.Manifest, map[weights.Digest][]byte) {
	t.Helper()
	chunks := map[weights.Digest][]byte{}
	encoded, digest, err := weights.BuildManifest("draft", version, 4, []weights.Source{{Name: "base", Kind: weights.BasePart, Reader: strings.NewReader(text)}},
		func(chunk weights.Digest, data []byte) error {
			chunks[chunk] = data
			return nil
		})
	if err != nil {
		t.Fatal(err)
	}
	manifest, err := weights.DecodeManifest(encoded, digest)
	if err != nil {
		t.Fatal(err)
	}
	return manifest, chunks
}

func TestVerifiedRequiresAllChunks(t *testing.T) {
	manifest, chunks := buildManifest(t, "v1", "aaaabbbbcc")
	store := weights.NewStore(bytesize.KiB)
	if err := store.Pin(manifest); err != nil {
		t.Fatal(err)
	}
	for _, digest := range manifest.Chunks() {
		if _, err := store.Verified(manifest.Digest()); !errors.Is(err, weights.ErrIncomplete) {
			t.Errorf("incomplete set: got %v, want ErrIncomplete", err)
		}
		if err := store.Put(digest, append([]byte("x"), chunks[digest]...)); !errors.Is(err, weights.ErrCorrupt) {
			t.Errorf("corrupt chunk: got %v, want ErrCorrupt", err)
		}
		if err := store.Put(digest, chunks[digest]); err != nil {
			t.Fatal(err)
		}
	}
	verified, err := store.Verified(manifest.Digest())
	if err != nil {
		t.Fatal(err)
	}
	var content bytes.Buffer
	if _, err := verified.WriteTo(&content); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("aaaabbbbcc", content.String()); diff != "" {
		t.Errorf("set (-want +got):\n%s", diff)
	}
}

func TestDecodeManifestRejectsWrongDigest(t *testing.T) {
	if _, err := weights.DecodeManifest([]byte(`{}`), weights.Sum([]byte("other"))); !errors.Is(err, weights.ErrCorrupt) {
		t.Errorf("got %v, want ErrCorrupt", err)
	}
}

// Chunks that two versions share must be stored once, and remain stored after the first
// version is unpinned.
func TestSharedChunksAreStoredOnce(t *testing.T) {
	first, firstChunks := buildManifest(t, "v1", "aaaabbbb")
	second, secondChunks := buildManifest(t, "v2", "aaaacccc")
	store := weights.NewStore(12)
	for _, manifest := range []*weights.Manifest{first, second} {
		if err := store.Pin(manifest); err != nil {
			t.Fatal(err)
		}
	}
	for digest, data := range firstChunks {
		if err := store.Put(digest, data); err != nil {
			t.Fatal(err)
		}
	}
	store.Unpin(first.Digest())
	if diff := cmp.Diff([]any{1, bytesize.Bytes(4)}, []any{store.Missing(second), store.Used()}); diff != "" {
		t.Errorf("missing chunks and used bytes after unpinning the first set (-want +got):\n%s", diff)
	}
	for digest, data := range secondChunks {
		if err := store.Put(digest, data); err != nil {
			t.Fatal(err)
		}
	}
	if store.Used() != 8 {
		t.Errorf("store uses %d bytes, want 8", store.Used())
	}
}

func TestPinRejectsSetAboveLimit(t *testing.T) {
	manifest, _ := buildManifest(t, "v1", "aaaabbbbcccc")
	if err := weights.NewStore(8).Pin(manifest); !errors.Is(err, weights.ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
}

// A manifest may list a chunk that is larger than its chunkBytes. Pin checks the memory
// limit by chunkBytes, so storing such a chunk could exceed the limit, on which the
// store panics. Put must reject the chunk with an error instead.
func TestPutRejectsOversizedChunk(t *testing.T) {
	oversized := []byte("more than four")
	text := fmt.Sprintf(`{"model":"draft","version":"v1","chunkBytes":4,"parts":[{"name":"base","kind":"base","bytes":4,"chunks":["%s"]}]}`, weights.Sum(oversized))
	manifest, err := weights.DecodeManifest([]byte(text), weights.Sum([]byte(text)))
	if err != nil {
		t.Fatal(err)
	}
	store := weights.NewStore(8)
	if err := store.Pin(manifest); err != nil {
		t.Fatal(err)
	}
	if err := store.Put(manifest.Chunks()[0], oversized); !errors.Is(err, weights.ErrCorrupt) {
		t.Errorf("got %v, want ErrCorrupt", err)
	}
}

// Put is on the hot path of received chunks: it must not allocate memory beyond the
// chunk itself.
func TestPutDoesNotAllocate(t *testing.T) {
	manifest, chunks := buildManifest(t, "v1", "aaaabbbb")
	store := weights.NewStore(bytesize.KiB)
	if err := store.Pin(manifest); err != nil {
		t.Fatal(err)
	}
	digest := manifest.Chunks()[0]
	if allocations := testing.AllocsPerRun(100, func() { _ = store.Put(digest, chunks[digest]) }); allocations > 0 {
		t.Errorf("Put allocates %g times, want 0", allocations)
	}
}
