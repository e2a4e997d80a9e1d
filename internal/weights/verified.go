package weights

import (
	"io"

	"github.com/cockroachdb/errors"
)

// VerifiedSet is a complete weight set in which every byte was verified. Only
// Store.Verified creates a VerifiedSet, so an order that requires one cannot contain
// partial or mixed weights.
type VerifiedSet struct {
	manifest *Manifest
	chunks   map[Digest][]byte
}

// Verified returns the pinned set with the given digest. It returns ErrNotPinned if the
// set is not pinned, and ErrIncomplete if a chunk is not stored yet.
func (s *Store) Verified(digest Digest) (*VerifiedSet, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	manifest := s.pinned[digest]
	if manifest == nil {
		return nil, ErrNotPinned
	}
	verified := &VerifiedSet{manifest: manifest, chunks: make(map[Digest][]byte, len(manifest.chunks))}
	for _, chunk := range manifest.chunks {
		data := s.entries[chunk].data
		if data == nil {
			return nil, ErrIncomplete
		}
		verified.chunks[chunk] = data
	}
	return verified, nil
}

// Manifest returns the manifest of the set.
func (v *VerifiedSet) Manifest() *Manifest { return v.manifest }

// Bytes returns the size of the set.
func (v *VerifiedSet) Bytes() int64 { return v.manifest.Bytes() }

// WriteTo implements io.WriterTo. It writes the content of all parts in order.
func (v *VerifiedSet) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for _, part := range v.manifest.Parts {
		for _, chunk := range part.Chunks {
			n, err := w.Write(v.chunks[chunk])
			written += int64(n)
			if err != nil {
				return written, errors.Wrapf(err, "write part %q", part.Name)
			}
		}
	}
	return written, nil
}
