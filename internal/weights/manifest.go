package weights

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// PartKind says what a part of a weight set is.
type PartKind string

// The kinds of parts.
const (
	BasePart    PartKind = "base"
	AdapterPart PartKind = "adapter"
)

// Part is one file of a weight set, cut into chunks.
type Part struct {
	Name   string   `json:"name"`
	Kind   PartKind `json:"kind"`
	Bytes  int64    `json:"bytes"`
	Chunks []Digest `json:"chunks"`
}

// Manifest pins every byte of a weight set: the base and its adapters form one
// version. It must not be changed after it was decoded.
type Manifest struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	ChunkBytes int    `json:"chunkBytes"`
	Parts      []Part `json:"parts"`

	digest Digest
	chunks []Digest
}

// DecodeManifest reads a manifest and checks it against its digest.
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

// NewManifest returns the manifest of a set that is one file cut into chunks of
// the same size, and its text.
func NewManifest(model, version string, chunkBytes int, chunks []Digest) (*Manifest, []byte, error) {
	encoded, err := json.Marshal(Manifest{Model: model, Version: version, ChunkBytes: chunkBytes, Parts: []Part{{
		Name: model, Kind: BasePart, Bytes: int64(len(chunks)) * int64(chunkBytes), Chunks: chunks,
	}}})
	if err != nil {
		return nil, nil, errors.Wrapf(err, "encode the manifest of %s version %s", model, version)
	}
	manifest, err := DecodeManifest(encoded, Sum(encoded))
	return manifest, encoded, err
}

// indexChunks lists the distinct chunks and checks the sizes.
func (m *Manifest) indexChunks() error {
	if m.ChunkBytes <= 0 {
		return errors.Newf("chunkBytes %d is not above zero", m.ChunkBytes)
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
		return errors.New("has no chunks")
	}
	return nil
}

// Digest names the manifest, and so the whole weight set.
func (m *Manifest) Digest() Digest { return m.digest }

// Chunks returns the distinct chunks in order. Callers must not change it.
func (m *Manifest) Chunks() []Digest { return m.chunks }

// Bytes returns the size of the whole set.
func (m *Manifest) Bytes() int64 {
	var total int64
	for _, part := range m.Parts {
		total += part.Bytes
	}
	return total
}

// Source is one file that BuildManifest cuts into chunks.
type Source struct {
	Name   string
	Kind   PartKind
	Reader io.Reader
}

// BuildManifest cuts the sources into chunks, gives each chunk to put, and
// returns the encoded manifest with its digest.
func BuildManifest(model, version string, chunkBytes int, sources []Source, put func(Digest, []byte) error) ([]byte, Digest, error) {
	manifest := Manifest{Model: model, Version: version, ChunkBytes: chunkBytes}
	for _, source := range sources {
		part := Part{Name: source.Name, Kind: source.Kind}
		if err := splitPart(source.Reader, chunkBytes, &part, put); err != nil {
			return nil, Digest{}, errors.Wrapf(err, "cut part %q", source.Name)
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
