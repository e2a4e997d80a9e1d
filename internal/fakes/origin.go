package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/url"
	"strings"
	"sync"

	"github.com/mimosaward/mimosaward/internal/weights"
)

// OriginStore is a fake of the origin with its rate-limited weight store.
type OriginStore struct {
	// Link limits the rate of chunk transfers; nil means no limit.
	Link *Link

	mu     sync.Mutex
	blobs  map[string][]byte
	counts OriginCounts
	faults OriginFaults
}

// OriginCounts counts the reads that the origin served.
type OriginCounts struct {
	ChunkBytes    int64 `json:"chunkBytes"`
	ChunkReads    int64 `json:"chunkReads"`
	ManifestReads int64 `json:"manifestReads"`
}

// OriginFaults are the faults that the origin injects.
type OriginFaults struct {
	// Corrupt is the fraction of chunk reads, between 0 and 1, that return
	// corrupt data.
	Corrupt float64 `json:"corrupt"`
}

// PublishResult is the response to a publish request.
type PublishResult struct {
	Manifest weights.Digest `json:"manifest"`
	// Content is the digest of all parts, concatenated in order.
	Content weights.Digest `json:"content"`
	Bytes   int            `json:"bytes"`
}

// Publish generates and stores a weight set with a base of totalBytes, seeded by
// the model and the version. Half of the base depends on the model alone, so
// versions share its chunks.
func (s *OriginStore) Publish(model, version string, chunkBytes, totalBytes int) (PublishResult, error) {
	base := randomBytes(model, totalBytes/2)
	versionBytes := randomBytes(model+"/"+version, totalBytes-len(base))
	adapter := randomBytes("adapter/"+version, chunkBytes/2)
	sources := []weights.Source{
		{Name: "base", Kind: weights.BasePart, Reader: bytes.NewReader(append(base, versionBytes...))},
		{Name: "adapter", Kind: weights.AdapterPart, Reader: bytes.NewReader(adapter)},
	}
	manifest, digest, err := weights.BuildManifest(model, version, chunkBytes, sources, func(chunk weights.Digest, data []byte) error {
		s.store("/chunks/"+chunk.String(), data)
		return nil
	})
	if err != nil {
		return PublishResult{}, err
	}
	s.store("/manifests/"+digest.String(), manifest)
	content := append(append(base, versionBytes...), adapter...)
	return PublishResult{Manifest: digest, Content: weights.Sum(content), Bytes: len(content)}, nil
}

func randomBytes(seed string, length int) []byte {
	source := rand.NewChaCha8(weights.Sum([]byte(seed)))
	data := make([]byte, length)
	_, _ = source.Read(data)
	return data
}

func (s *OriginStore) store(path string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.blobs == nil {
		s.blobs = map[string][]byte{}
	}
	s.blobs[path] = data
}

// Counts returns a copy of the counters.
func (s *OriginStore) Counts() OriginCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetFaults replaces the injected faults.
func (s *OriginStore) SetFaults(faults OriginFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// publishRequest is a request to generate and publish a weight set.
type publishRequest struct {
	Model      string `json:"model"`
	Version    string `json:"version"`
	ChunkBytes int    `json:"chunkBytes"`
	TotalBytes int    `json:"totalBytes"`
}

// RoundTrip handles one request to the origin. It is a
// platformclient.RoundTripFunc.
func (s *OriginStore) RoundTrip(ctx context.Context, method, address string, body []byte) (int, []byte, error) {
	parsed, err := url.Parse(address)
	if err != nil {
		return 400, []byte(err.Error()), nil
	}
	switch {
	case method == "POST" && parsed.Path == "/publish":
		return s.publish(body)
	case method == "PUT" && parsed.Path == "/faults":
		return s.putFaults(body)
	case parsed.Path == "/counts":
		return jsonResponse(s.Counts())
	}
	return s.read(ctx, parsed.Path)
}

func (s *OriginStore) publish(body []byte) (int, []byte, error) {
	var request publishRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return 400, []byte(err.Error()), nil
	}
	result, err := s.Publish(request.Model, request.Version, request.ChunkBytes, request.TotalBytes)
	if err != nil {
		return 400, []byte(err.Error()), nil
	}
	return jsonResponse(result)
}

func (s *OriginStore) putFaults(body []byte) (int, []byte, error) {
	var faults OriginFaults
	if err := json.Unmarshal(body, &faults); err != nil {
		return 400, []byte(err.Error()), nil
	}
	s.SetFaults(faults)
	return 200, []byte("{}"), nil
}

func (s *OriginStore) read(ctx context.Context, path string) (int, []byte, error) {
	s.mu.Lock()
	data, ok := s.blobs[path]
	isChunk := strings.HasPrefix(path, "/chunks/")
	corrupt := isChunk && rand.Float64() < s.faults.Corrupt
	if ok && isChunk {
		s.counts.ChunkReads++
		s.counts.ChunkBytes += int64(len(data))
	} else if ok {
		s.counts.ManifestReads++
	}
	s.mu.Unlock()
	if !ok {
		return 404, []byte("blob not found"), nil
	}
	if s.Link != nil {
		s.Link.Send(ctx, len(data))
	}
	if corrupt {
		data = append([]byte{data[0] ^ 0xff}, data[1:]...)
	}
	return 200, data, nil
}
