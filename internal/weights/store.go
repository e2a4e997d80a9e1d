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
	// ErrNotPinned means that no pinned manifest contains the chunk, or that the set is
	// not pinned.
	ErrNotPinned = errors.New("chunk does not belong to a pinned weight set")
	// ErrTooLarge means that the pinned sets do not fit into the memory limit.
	ErrTooLarge = errors.New("weight set does not fit into the chunk memory")
	// ErrIncomplete means that chunks of the set are missing.
	ErrIncomplete = errors.New("weight set is incomplete")
)

// Store holds the verified chunks of the pinned manifests in memory. It is
// safe for concurrent use.
//
// Invariants: every stored chunk matches its digest; every stored chunk belongs to
// a pinned manifest; the stored bytes never exceed the limit.
type Store struct {
	limit bytesize.Bytes

	mu      sync.Mutex
	used    bytesize.Bytes
	pinned  map[Digest]*Manifest
	entries map[Digest]*chunkEntry
}

// chunkEntry is a chunk of one or more pinned manifests. data is nil until the chunk was
// verified. settled is closed then, or once no pinned manifest contains the chunk.
type chunkEntry struct {
	pins int
	// maxBytes is the maximum chunk size that the manifests allow.
	maxBytes int
	data     []byte
	settled  chan struct{}
}

// NewStore returns an empty store with a capacity of limit bytes.
func NewStore(limit bytesize.Bytes) *Store {
	return &Store{limit: limit, pinned: map[Digest]*Manifest{}, entries: map[Digest]*chunkEntry{}}
}

// Used returns the total size of the stored chunks.
func (s *Store) Used() bytesize.Bytes {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used
}

// Pin adds a manifest, so that the store accepts its chunks. Chunks that several pinned
// manifests contain are stored once. Pin returns ErrTooLarge if the pinned sets would
// not fit into the memory limit.
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
			entry = &chunkEntry{settled: make(chan struct{})}
			s.entries[chunk] = entry
		}
		entry.pins++
		entry.maxBytes = max(entry.maxBytes, manifest.ChunkBytes)
	}
	return nil
}

// pinnedBytes returns an upper bound of the memory that the pinned manifests need when
// complete.
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

// additionalBytes returns an upper bound of the memory that a manifest needs in addition
// to pinnedBytes.
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

// Unpin removes a manifest and the chunks that no other pinned manifest contains.
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
			if entry.data == nil {
				close(entry.settled)
			}
		}
	}
}

// Pinned returns the manifest with the given digest if it is pinned.
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

// Put verifies a chunk and stores it. It returns ErrCorrupt if data does not match the
// digest, and ErrNotPinned if no pinned manifest contains the chunk. The store retains
// data, so the caller must not modify it afterwards.
func (s *Store) Put(digest Digest, data []byte) error {
	if Sum(data) != digest {
		return ErrCorrupt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[digest]
	if entry == nil {
		return ErrNotPinned
	}
	if entry.data != nil {
		return nil
	}
	if len(data) > entry.maxBytes {
		return errors.Mark(errors.Newf("chunk %s has %d bytes, its manifest allows %d", digest, len(data), entry.maxBytes), ErrCorrupt)
	}
	s.used += bytesize.Bytes(len(data))
	if s.used > s.limit {
		panic(fmt.Sprintf("chunk memory uses %d bytes, the limit is %d", s.used, s.limit))
	}
	entry.data = data
	close(entry.settled)
	return nil
}

// Accepts reports whether a pinned manifest contains the chunk.
func (s *Store) Accepts(digest Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[digest] != nil
}

// Has reports whether the chunk is stored.
func (s *Store) Has(digest Digest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.entries[digest]
	return entry != nil && entry.data != nil
}

// Get returns the chunk. If the chunk is not stored yet, Get waits for it until ctx
// ends. It returns ErrNotPinned as soon as no pinned manifest contains the chunk.
// Callers must not modify the data.
func (s *Store) Get(ctx context.Context, digest Digest) ([]byte, error) {
	s.mu.Lock()
	entry := s.entries[digest]
	if entry == nil {
		s.mu.Unlock()
		return nil, ErrNotPinned
	}
	if entry.data != nil {
		defer s.mu.Unlock()
		return entry.data, nil
	}
	s.mu.Unlock()
	select {
	case <-entry.settled:
		if entry.data == nil {
			return nil, ErrNotPinned
		}
		return entry.data, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Missing returns the number of chunks of the manifest that are not stored.
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
