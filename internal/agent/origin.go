package agent

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/transport"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// maxManifestPeerAttempts is the number of attempts to fetch a manifest from a
// peer before the agent fetches it from the origin.
const maxManifestPeerAttempts = 5

// fetchChunkFromOrigin fetches a chunk from the origin.
func (a *Agent) fetchChunkFromOrigin(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	data, err := a.readFromOrigin(ctx, "/chunks/"+chunk.String())
	if err == nil {
		err = a.transport.Downlink().WaitChunk(ctx, len(data))
	}
	if err == nil {
		a.base.Metrics.IncChunksReceived("origin")
	}
	return data, err
}

func (a *Agent) readFromOrigin(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	status, body, err := a.origin(ctx, fiber.MethodGet, a.Settings.Weights.OriginURL+path, nil)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s from the origin", path)
	}
	if status != fiber.StatusOK {
		return nil, errors.Newf("read %s from the origin: status %d", path, status)
	}
	return body, nil
}

// fetchManifest fetches a manifest from the parent agent, and after several
// attempts from the origin. The first attempt is 0.
func (a *Agent) fetchManifest(ctx context.Context, digest weights.Digest, members []membership.Instance, attempt int) (*weights.Manifest, error) {
	data, err := a.fetchManifestData(ctx, digest, members, attempt)
	if err != nil {
		return nil, err
	}
	manifest, err := weights.DecodeManifest(data, digest)
	if err != nil {
		return nil, err
	}
	a.transport.CacheManifest(digest.String(), data)
	return manifest, nil
}

func (a *Agent) fetchManifestData(ctx context.Context, digest weights.Digest, members []membership.Instance, attempt int) ([]byte, error) {
	tree := transport.NewManifestTree(digest.String(), members)
	parent, ok := tree.Parent(tree.Rank(a.base.Self.Name))
	if !ok || attempt >= maxManifestPeerAttempts {
		return a.readFromOrigin(ctx, "/manifests/"+digest.String())
	}
	return a.transport.FetchManifest(ctx, digest.String(), parent)
}
