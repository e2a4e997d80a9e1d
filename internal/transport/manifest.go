package transport

import (
	"context"
	"net/url"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

const (
	manifestPath = "/manifests/"
	// manifestFanOut is the number of children of an instance in the distribution tree of
	// a manifest.
	manifestFanOut = 8
	// maxCachedManifests is the maximum number of manifests cached for other instances: the
	// served and the wanted one, and another of each while the wanted version changes.
	maxCachedManifests = 4
)

// manifestCache holds the encoded manifests that were added last. It evicts them in
// insertion order and is safe for concurrent use.
type manifestCache struct {
	mu        sync.Mutex
	keys      []string
	manifests map[string][]byte
}

func (m *manifestCache) get(key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, ok := m.manifests[key]
	return encoded, ok
}

func (m *manifestCache) put(key string, encoded []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.manifests == nil {
		m.manifests = map[string][]byte{}
	}
	if _, cached := m.manifests[key]; !cached {
		m.keys = append(m.keys, key)
	}
	m.manifests[key] = encoded
	if len(m.keys) > maxCachedManifests {
		delete(m.manifests, m.keys[0])
		m.keys = m.keys[1:]
	}
}

// handleManifest serves a cached manifest to another instance. Status 425 means that the
// instance does not have the manifest yet.
func (t *Transport) handleManifest(c fiber.Ctx) error {
	key, err := url.PathUnescape(c.Params("key"))
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	encoded, ok := t.manifests.get(key)
	if !ok {
		return c.SendStatus(fiber.StatusTooEarly)
	}
	return c.Send(encoded)
}

// CacheManifest caches an encoded manifest, to serve it to other instances.
func (t *Transport) CacheManifest(key string, encoded []byte) { t.manifests.put(key, encoded) }

// ManifestTree is the distribution tree of a manifest over instances. Only the root requests the
// manifest from the origin, so that the origin sends it about once.
type ManifestTree struct {
	// ranked holds the instances; the children of one follow it.
	ranked []membership.Instance
}

// NewManifestTree returns the distribution tree of a manifest over the members.
func NewManifestTree(key string, members []membership.Instance) *ManifestTree {
	return &ManifestTree{ranked: membership.Rank("manifest/"+key, members)}
}

// Rank returns the position of a member in the tree; the root's is 0.
func (t *ManifestTree) Rank(name string) int {
	return slices.IndexFunc(t.ranked, func(member membership.Instance) bool { return member.Name == name })
}

// Parent returns the parent of the member at a position, and false for the root.
func (t *ManifestTree) Parent(rank int) (membership.Instance, bool) {
	if rank <= 0 {
		return membership.Instance{}, false
	}
	return t.ranked[(rank-1)/manifestFanOut], true
}

// Roots returns the first instances of the tree: the root and those that replace it if it fails.
func (t *ManifestTree) Roots(count int) []membership.Instance {
	return slices.Clone(t.ranked[:min(count, len(t.ranked))])
}

// FetchManifest fetches an encoded manifest from another instance.
func (t *Transport) FetchManifest(ctx context.Context, key string, peer membership.Instance) ([]byte, error) {
	response, err := t.client.DoContext(ctx, upstream.Request{Method: fiber.MethodGet, URL: "http://" + peer.WorkAddress + manifestPath + url.PathEscape(key)})
	if err != nil {
		return nil, err
	}
	defer response.Close()
	body, err := response.ReadBody()
	if err != nil {
		return nil, err
	}
	if response.Status() != fiber.StatusOK {
		return nil, errors.Newf("instance %s does not have manifest %s yet", peer.Name, key)
	}
	return body, nil
}
