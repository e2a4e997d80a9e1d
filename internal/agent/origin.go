package agent

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/transport"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// manifestPeerTries is how often an agent asks its peers before it asks the origin.
const manifestPeerTries = 5

// fetchOrigin asks the origin for a chunk.
func (a *Agent) fetchOrigin(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	data, err := a.readOrigin(ctx, "/chunks/"+chunk.String())
	if err == nil {
		err = a.carrier.Downlink().WaitChunk(ctx, len(data))
	}
	if err == nil {
		a.base.Metrics.IncChunksReceived("origin")
	}
	return data, err
}

func (a *Agent) readOrigin(ctx context.Context, path string) ([]byte, error) {
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

// fetchManifest gets a manifest from the agent above, and after several tries from
// the origin. Try counts from 0.
func (a *Agent) fetchManifest(ctx context.Context, digest weights.Digest, members []membership.Instance, try int) (*weights.Manifest, error) {
	text, err := a.readManifest(ctx, digest, members, try)
	if err != nil {
		return nil, err
	}
	manifest, err := weights.DecodeManifest(text, digest)
	if err != nil {
		return nil, err
	}
	a.carrier.CacheManifest(digest.String(), text)
	return manifest, nil
}

func (a *Agent) readManifest(ctx context.Context, digest weights.Digest, members []membership.Instance, try int) ([]byte, error) {
	parent, hasParent := transport.ManifestParent(digest.String(), a.base.Self.Name, members)
	if !hasParent || try >= manifestPeerTries {
		return a.readOrigin(ctx, "/manifests/"+digest.String())
	}
	return a.carrier.FetchManifest(ctx, digest.String(), parent)
}
