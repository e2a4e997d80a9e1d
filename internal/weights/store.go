package weights

import (
	"context"
	"fmt"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/bytesize"
)

// Errors of the store.
var (
	// ErrCorrupt means that data does not match its digest.
	ErrCorrupt = errors.New("data does not match its digest")
	// ErrNotWanted means that no pinned manifest contains the chunk.
	ErrNotWanted = errors.New("chunk belongs to no wanted weight set")
	// ErrTooLarge means that the pinned sets do not fit the memory limit.
	ErrTooLarge = errors.New("weight set does not fit the chunk memory")
	// ErrIncomplete means that chunks of the set are missing.
	ErrIncomplete = errors.New("weight set is incomplete")
)

// Store holds the verified chunks of the pinned manifests in memory. It is
// safe for concurrent use.
//
// Invariants: every held chunk matches its digest; every held chunk belongs to
// a pinned manifest; the held bytes never exceed the limit.
type Store struct {
	limit bytesize.Bytes

	mu      sync.Mutex
	used    bytesize.Bytes
	pinned  map[Digest]*Manifest
	entries map[Digest]*chunkEntry
}

// chunkEntry is one wanted chunk. Data is nil until it was verified; arrived is
// closed then.
type chunkEntry struct {
	pins int
	// maxBytes is the number of bytes that the manifests allow.
	maxBytes int
	data     []byte
	ready    chan struct{}
}

// NewStore returns an empty store that holds at most limit bytes.
func NewStore(limit bytesize.Bytes) *Store {
	return &Store{limit: limit, pinned: map[Digest]*Manifest{}, entries: map[Digest]*chunkEntry{}}
}

// Used returns the bytes held.
func (s *Store) Used() bytesize.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Pin makes the chunks of manifest wanted. Chunks that it shares with another
// pinned manifest are held once.
func (s *Store) Pin(manifest *Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pinned[manifest.digest] != nil {
		return nil
	}
	if required := s.pinnedBytes() + s.additionalBytes(manifest); required > s.limit {
		return errors.Mark(errors.Newf("weight set %s needs %d bytes with those already pinned, the limit is %d", manifest.digest, required, s.limit), ErrTooLarge)
	}
	s.pinned[manifest.digest] = manifest
	for _, chunk := range manifest.chunks {
		entry := s.entries[chunk]
		if entry == nil {
			entry = &chunkEntry{ready: make(chan struct{})}
			s.entries[chunk] = entry
		}
		entry.pins++
		entry.maxBytes = max(entry.maxBytes, manifest.ChunkBytes)
	}
	return nil
}

// pinnedBytes bounds the memory that the pinned manifests need when complete.
func (s *Store) pinnedBytes() bytesize.Bytes {
	var total bytesize.Bytes
	for _, entry := range s.entries {
		if entry.data != nil {
			total += bytesize.Bytes(len(entry.data))
			continue
		}
		total += bytesize.Bytes(entry.maxBytes)
	}
	return total
}

// additionalBytes bounds the memory that a manifest needs beyond that.
func (s *Store) additionalBytes(manifest *Manifest) bytesize.Bytes {
	var additional bytesize.Bytes
	for _, chunk := range manifest.chunks {
		entry := s.entries[chunk]
		switch {
		case entry == nil:
			additional += bytesize.Bytes(manifest.ChunkBytes)
		case entry.data == nil:
			additional += bytesize.Bytes(max(0, manifest.ChunkBytes-entry.maxBytes))
		}
	}
	return additional
}

// Unpin drops the chunks that no other pinned manifest contains.
func (s *Store) Unpin(digest Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	manifest := s.pinned[digest]
	if manifest == nil {
		return
	}
	delete(s.pinned, digest)
	for _, chunk := range manifest.chunks {
		entry := s.entries[chunk]
		entry.pins--
		if entry.pins == 0 {
			s.used -= bytesize.Bytes(len(entry.data))
			delete(s.entries, chunk)
		}
	}
}

// Pinned returns the named manifest if it is pinned.
func (s *Store) Pinned(digest Digest) (*Manifest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	manifest, ok := s.pinned[digest]
	return manifest, ok
}

// PinnedSets returns the digests of the pinned manifests.
func (s *Store) PinnedSets() []Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	sets := make([]Digest, 0, len(s.pinned))
	for set := range s.pinned {
		sets = append(sets, set)
	}
	return sets
}

// Put verifies data and holds it. The store keeps data; the caller must not
// change it afterwards.
func (s *Store) Put(digest Digest, data []byte) error {
	if Sum(data) != digest {
		return ErrCorrupt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[digest]
	if entry == nil {
		return ErrNotWanted
	}
	if entry.data != nil {
		return nil
	}
	if len(data) > entry.maxBytes {
		return errors.Mark(errors.Newf("chunk %s has %d bytes, its manifest allows %d", digest, len(data), entry.maxBytes), ErrCorrupt)
	}
	s.used += bytesize.Bytes(len(data))
	if s.used > s.limit {
		panic(fmt.Sprintf("chunk memory holds %d bytes, the limit is %d", s.used, s.limit))
	}
	entry.data = data
	close(entry.ready)
	return nil
}

// Wants reports whether a pinned manifest contains the chunk.
func (s *Store) Wants(digest Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[digest] != nil
}

// Has reports whether the chunk is held.
func (s *Store) Has(digest Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[digest]
	return entry != nil && entry.data != nil
}

// Get returns the chunk, waiting for it until ctx ends. It returns ErrNotWanted
// at once if no pinned manifest contains it. Callers must not change the data.
func (s *Store) Get(ctx context.Context, digest Digest) ([]byte, error) {
	s.mu.Lock()
	entry := s.entries[digest]
	if entry == nil {
		s.mu.Unlock()
		return nil, ErrNotWanted
	}
	if entry.data != nil {
		defer s.mu.Unlock()
		return entry.data, nil
	}
	s.mu.Unlock()
	select {
	case <-entry.ready:
		return entry.data, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Missing returns how many chunks of the manifest are not held.
func (s *Store) Missing(manifest *Manifest) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := 0
	for _, chunk := range manifest.chunks {
		if entry := s.entries[chunk]; entry == nil || entry.data == nil {
			missing++
		}
	}
	return missing
}
