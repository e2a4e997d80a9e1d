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
	// maxManifests bounds the manifests that are kept for others: the one served
	// and the one wanted, and one of each again while wishes change.
	maxManifests = 4
)

// manifestCache holds the texts of the manifests that the instance got last. It
// is safe for concurrent use.
type manifestCache struct {
	mu    sync.Mutex
	keys  []string
	texts map[string][]byte
}

func (m *manifestCache) get(key string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, found := m.texts[key]
	return text, found
}

func (m *manifestCache) keep(key string, text []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.texts == nil {
		m.texts = map[string][]byte{}
	}
	if _, held := m.texts[key]; !held {
		m.keys = append(m.keys, key)
	}
	m.texts[key] = text
	if len(m.keys) > maxManifests {
		delete(m.texts, m.keys[0])
		m.keys = m.keys[1:]
	}
}

// getManifest serves a manifest to another instance.
func (r *Transport) getManifest(c fiber.Ctx) error {
	key, err := url.PathUnescape(c.Params("key"))
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	text, found := r.manifests.get(key)
	if !found {
		return c.SendStatus(fiber.StatusTooEarly)
	}
	return c.Send(text)
}

// CacheManifest keeps a manifest's text for other instances.
func (r *Transport) CacheManifest(key string, text []byte) { r.manifests.keep(key, text) }

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
func (r *Transport) FetchManifest(ctx context.Context, key string, peer membership.Instance) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	response, err := r.peers.Do(upstream.Request{Method: fiber.MethodGet, URL: "http://" + peer.WorkAddress + manifestPath + url.PathEscape(key)})
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
