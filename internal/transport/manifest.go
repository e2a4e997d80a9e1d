package transport

import (
	"context"
	"net/url"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

const (
	manifestPath = "/manifests/"
	// manifestFanOut is the number of instances that get a manifest from one.
	manifestFanOut = 8
	// maxCachedManifests bounds the manifests that are kept for others: the one served
	// and the one wanted, and one of each again while wishes change.
	maxCachedManifests = 4
)

// manifestCache holds the texts of the manifests that the instance got last. It
// is safe for concurrent use.
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

// handleManifest serves a manifest to another instance.
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

// CacheManifest keeps a manifest's text for other instances.
func (t *Transport) CacheManifest(key string, encoded []byte) { t.manifests.put(key, encoded) }

// ManifestParent returns the instance above self in a tree over the members, so that the
// origin gives the manifest about once, and false for the root.
func ManifestParent(key string, self string, members []membership.Instance) (membership.Instance, bool) {
	ranked := membership.Rank("manifest/"+key, members)
	for index, member := range ranked {
		if member.Name == self && index > 0 {
			return ranked[(index-1)/manifestFanOut], true
		}
	}
	return membership.Instance{}, false
}

// FetchManifest asks another instance for a manifest.
func (t *Transport) FetchManifest(ctx context.Context, key string, peer membership.Instance) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	response, err := t.peers.Do(upstream.Request{Method: fiber.MethodGet, URL: "http://" + peer.WorkAddress + manifestPath + url.PathEscape(key)})
	if err != nil {
		return nil, err
	}
	defer response.Close()
	body, err := response.Body()
	if err != nil {
		return nil, err
	}
	if response.Status() != fiber.StatusOK {
		return nil, errors.Newf("instance %s has no manifest %s yet", peer.Name, key)
	}
	return body, nil
}
