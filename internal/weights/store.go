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
	entries map[Digest]*entry
}

// entry is one wanted chunk. Data is nil until it was verified; arrived is
// closed then.
type entry struct {
	pins int
	// most is the number of bytes that the manifests allow.
	most    int
	data    []byte
	arrived chan struct{}
}

// NewStore returns an empty store that holds at most limit bytes.
func NewStore(limit bytesize.Bytes) *Store {
	return &Store{limit: limit, pinned: map[Digest]*Manifest{}, entries: map[Digest]*entry{}}
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
	if need := s.pinnedBytes() + s.extraBytes(manifest); need > s.limit {
		return errors.Mark(errors.Newf("weight set %s needs %d bytes with those already pinned, the limit is %d", manifest.digest, need, s.limit), ErrTooLarge)
	}
	s.pinned[manifest.digest] = manifest
	for _, chunk := range manifest.chunks {
		held := s.entries[chunk]
		if held == nil {
			held = &entry{arrived: make(chan struct{})}
			s.entries[chunk] = held
		}
		held.pins++
		held.most = max(held.most, manifest.ChunkBytes)
	}
	return nil
}

// pinnedBytes bounds the memory that the pinned manifests need when complete.
func (s *Store) pinnedBytes() bytesize.Bytes {
	var total bytesize.Bytes
	for _, held := range s.entries {
		if held.data != nil {
			total += bytesize.Bytes(len(held.data))
			continue
		}
		total += bytesize.Bytes(held.most)
	}
	return total
}

// extraBytes bounds the memory that a manifest needs beyond that.
func (s *Store) extraBytes(manifest *Manifest) bytesize.Bytes {
	var extra bytesize.Bytes
	for _, chunk := range manifest.chunks {
		held := s.entries[chunk]
		switch {
		case held == nil:
			extra += bytesize.Bytes(manifest.ChunkBytes)
		case held.data == nil:
			extra += bytesize.Bytes(max(0, manifest.ChunkBytes-held.most))
		}
	}
	return extra
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
		held := s.entries[chunk]
		held.pins--
		if held.pins == 0 {
			s.used -= bytesize.Bytes(len(held.data))
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
	held := s.entries[digest]
	if held == nil {
		return ErrNotWanted
	}
	if held.data != nil {
		return nil
	}
	if len(data) > held.most {
		return errors.Mark(errors.Newf("chunk %s has %d bytes, its manifest allows %d", digest, len(data), held.most), ErrCorrupt)
	}
	s.used += bytesize.Bytes(len(data))
	if s.used > s.limit {
		panic(fmt.Sprintf("chunk memory holds %d bytes, the limit is %d", s.used, s.limit))
	}
	held.data = data
	close(held.arrived)
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
	held := s.entries[digest]
	return held != nil && held.data != nil
}

// Get returns the chunk, waiting for it until ctx ends. It returns ErrNotWanted
// at once if no pinned manifest contains it. Callers must not change the data.
func (s *Store) Get(ctx context.Context, digest Digest) ([]byte, error) {
	s.mu.Lock()
	held := s.entries[digest]
	if held == nil {
		s.mu.Unlock()
		return nil, ErrNotWanted
	}
	if held.data != nil {
		defer s.mu.Unlock()
		return held.data, nil
	}
	s.mu.Unlock()
	select {
	case <-held.arrived:
		return held.data, nil
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
		if held := s.entries[chunk]; held == nil || held.data == nil {
			missing++
		}
	}
	return missing
}
