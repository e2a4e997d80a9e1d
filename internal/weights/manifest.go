package weights

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// PartKind is the kind of a part of a weight set.
type PartKind string

// The kinds of parts.
const (
	BasePart    PartKind = "base"
	AdapterPart PartKind = "adapter"
)

// Part is one file of a weight set, split into chunks.
type Part struct {
	Name   string   `json:"name"`
	Kind   PartKind `json:"kind"`
	Bytes  int64    `json:"bytes"`
	Chunks []Digest `json:"chunks"`
}

// Manifest describes a weight set and, through the digests of its chunks, determines
// every byte of it. The base and its adapters form one version. A decoded manifest must
// not be modified.
type Manifest struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	ChunkBytes int    `json:"chunkBytes"`
	Parts      []Part `json:"parts"`

	digest Digest
	chunks []Digest
}

// DecodeManifest decodes a manifest and checks it against its digest.
func DecodeManifest(encoded []byte, digest Digest) (*Manifest, error) {
	if Sum(encoded) != digest {
		return nil, errors.Mark(errors.Newf("manifest does not match its digest %s", digest), ErrCorrupt)
	}
	manifest := &Manifest{digest: digest}
	if err := json.Unmarshal(encoded, manifest); err != nil {
		return nil, errors.Wrapf(err, "decode manifest %s", digest)
	}
	if err := manifest.indexChunks(); err != nil {
		return nil, errors.Wrapf(err, "manifest %s", digest)
	}
	return manifest, nil
}

// NewManifest returns the manifest of a set that consists of one file, split into chunks
// of equal size, and the encoded manifest.
func NewManifest(model, version string, chunkBytes int, chunks []Digest) (*Manifest, []byte, error) {
	encoded, err := (&Manifest{Model: model, Version: version, ChunkBytes: chunkBytes, Parts: []Part{{
		Name: model, Kind: BasePart, Bytes: int64(len(chunks)) * int64(chunkBytes), Chunks: chunks,
	}}}).Encode()
	if err != nil {
		return nil, nil, err
	}
	manifest, err := DecodeManifest(encoded, Sum(encoded))
	return manifest, encoded, err
}

// indexChunks collects the distinct chunks and checks the sizes of the parts.
func (m *Manifest) indexChunks() error {
	if m.ChunkBytes <= 0 {
		return errors.Newf("chunkBytes %d is not positive", m.ChunkBytes)
	}
	seen := map[Digest]bool{}
	for _, part := range m.Parts {
		expected := (part.Bytes + int64(m.ChunkBytes) - 1) / int64(m.ChunkBytes)
		if int64(len(part.Chunks)) != expected {
			return errors.Newf("part %q has %d chunks for %d bytes, want %d", part.Name, len(part.Chunks), part.Bytes, expected)
		}
		for _, chunk := range part.Chunks {
			if !seen[chunk] {
				seen[chunk] = true
				m.chunks = append(m.chunks, chunk)
			}
		}
	}
	if len(m.chunks) == 0 {
		return errors.New("contains no chunks")
	}
	return nil
}

// Digest returns the digest of the manifest, which identifies the whole weight set.
func (m *Manifest) Digest() Digest { return m.digest }

// Chunks returns the distinct chunks in the order of their first occurrence. Callers
// must not modify the slice.
func (m *Manifest) Chunks() []Digest { return m.chunks }

// Encode returns the encoded manifest.
func (m *Manifest) Encode() ([]byte, error) {
	encoded, err := json.Marshal(m)
	return encoded, errors.Wrapf(err, "encode the manifest of %s version %s", m.Model, m.Version)
}

// Positions returns the chunk at each position of the set, with repetitions: the base first,
// then its adapters.
func (m *Manifest) Positions() []Digest {
	positions := make([]Digest, 0, len(m.chunks))
	for _, part := range m.Parts {
		positions = append(positions, part.Chunks...)
	}
	return positions
}

// Bytes returns the total size of the parts.
func (m *Manifest) Bytes() int64 {
	var total int64
	for _, part := range m.Parts {
		total += part.Bytes
	}
	return total
}

// Source is one file that BuildManifest splits into chunks.
type Source struct {
	Name   string
	Kind   PartKind
	Reader io.Reader
}

// BuildManifest splits the sources into chunks, calls put for each chunk, and returns
// the encoded manifest with its digest.
func BuildManifest(model, version string, chunkBytes int, sources []Source, put func(Digest, []byte) error) ([]byte, Digest, error) {
	manifest := Manifest{Model: model, Version: version, ChunkBytes: chunkBytes}
	for _, source := range sources {
		part := Part{Name: source.Name, Kind: source.Kind}
		if err := splitPart(source.Reader, chunkBytes, &part, put); err != nil {
			return nil, Digest{}, errors.Wrapf(err, "split part %q into chunks", source.Name)
		}
		manifest.Parts = append(manifest.Parts, part)
	}
	encoded, err := json.Marshal(manifest)
	return encoded, Sum(encoded), err
}

func splitPart(reader io.Reader, chunkBytes int, part *Part, put func(Digest, []byte) error) error {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := io.ReadFull(reader, buffer)
		if n > 0 {
			digest := Sum(buffer[:n])
			part.Chunks = append(part.Chunks, digest)
			part.Bytes += int64(n)
			if putErr := put(digest, buffer[:n]); putErr != nil {
				return putErr
			}
		}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return err
		}
	}
}
