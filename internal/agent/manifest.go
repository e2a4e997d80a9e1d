package agent

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/roster"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// manifestFanOut is the number of agents that get a manifest from one agent.
	manifestFanOut = 8
	// manifestPeerTries is how often an agent asks its peers before it asks the
	// origin.
	manifestPeerTries = 5
)

// manifestCache holds the texts of the manifests that the agent pinned last.
type manifestCache struct {
	mu    sync.Mutex
	texts map[weights.Digest][]byte
}

func (m *manifestCache) get(digest weights.Digest) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, found := m.texts[digest]
	return text, found
}

// keep stores a text and drops those that are not in pinned.
func (m *manifestCache) keep(digest weights.Digest, text []byte, pinned func(weights.Digest) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.texts == nil {
		m.texts = map[weights.Digest][]byte{}
	}
	for held := range m.texts {
		if !pinned(held) {
			delete(m.texts, held)
		}
	}
	m.texts[digest] = text
}

// getManifest serves a manifest to another agent.
func (a *Agent) getManifest(c fiber.Ctx) error {
	digest, err := weights.ParseDigest(c.Params("digest"))
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	text, found := a.manifests.get(digest)
	if !found {
		return c.SendStatus(fiber.StatusTooEarly)
	}
	return c.Send(text)
}

// fetchManifest gets a manifest from the agent above in a tree over the pool,
// so that the origin gives it about once. After several tries it asks the
// origin. Try counts from 0.
func (a *Agent) fetchManifest(ctx context.Context, digest weights.Digest, members []roster.Instance, try int) (*weights.Manifest, error) {
	text, err := a.readManifest(ctx, digest, members, try)
	if err != nil {
		return nil, err
	}
	manifest, err := weights.DecodeManifest(text, digest)
	if err != nil {
		return nil, err
	}
	a.manifests.keep(digest, text, func(held weights.Digest) bool {
		_, pinned := a.store.Pinned(held)
		return pinned
	})
	return manifest, nil
}

func (a *Agent) readManifest(ctx context.Context, digest weights.Digest, members []roster.Instance, try int) ([]byte, error) {
	ranked := roster.Rank("manifest/"+digest.String(), members)
	own := 0
	for index, member := range ranked {
		if member.Name == a.base.Self.Name {
			own = index
		}
	}
	if own == 0 || try >= manifestPeerTries {
		return a.readOrigin(ctx, "/manifests/"+digest.String())
	}
	parent := ranked[(own-1)/manifestFanOut]
	response, err := a.peers.Do(upstream.Request{Method: fiber.MethodGet, URL: "http://" + parent.WorkAddress + "/manifests/" + digest.String()})
	if err != nil {
		return nil, err
	}
	defer response.Close()
	body, err := response.Body()
	if err != nil {
		return nil, err
	}
	if response.Status() != fiber.StatusOK {
		return nil, errors.Newf("agent %s has no manifest %s yet", parent.Name, digest)
	}
	return body, nil
}
