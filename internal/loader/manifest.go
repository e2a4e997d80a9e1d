package loader

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/transport"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// manifestPeerTimeout is how long a manifest is requested from the parent in the tree
	// before it is requested from the origin: several times the propagation time through
	// the tree.
	manifestPeerTimeout = 400 * time.Millisecond
	// manifestRetryDelay is the delay between attempts, about the time in which the
	// parent receives the manifest.
	manifestRetryDelay = 50 * time.Millisecond
	// manifestLogInterval is the number of failed attempts per log event.
	manifestLogInterval = 10
)

// manifestKey returns the key under which instances request a manifest from each other.
func manifestKey(wanted modelVersion) string {
	return wanted.model + "@" + strconv.FormatInt(wanted.version, 10)
}

// fetchManifest returns the manifest of the wanted version. It retries until ctx is
// done.
func (l *Loader) fetchManifest(ctx context.Context, wanted modelVersion) (*weights.Manifest, error) {
	var lastErr error
	start := time.Now()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		manifest, err := l.tryFetchManifest(ctx, wanted, time.Since(start) < manifestPeerTimeout)
		if err == nil {
			return manifest, nil
		}
		lastErr = err
		if attempt%manifestLogInterval == manifestLogInterval-1 {
			l.Log.Emit(event.ManifestFailed, event.Fields{"model": wanted.model, "version": wanted.version, "tries": attempt + 1, "error": err.Error()})
		}
		concurrency.Sleep(ctx, manifestRetryDelay)
	}
	return nil, errors.CombineErrors(ctx.Err(), lastErr)
}

// tryFetchManifest requests the manifest from the parent in a tree over the members if
// there is a parent and fromPeer is set, otherwise from the origin.
func (l *Loader) tryFetchManifest(ctx context.Context, wanted modelVersion, fromPeer bool) (*weights.Manifest, error) {
	key := manifestKey(wanted)
	plan, _ := l.plans.current()
	parent, hasParent := transport.ManifestParent(key, l.self().Name, filterInstances(plan.Members.Instances, allMembers))
	if hasParent && fromPeer {
		text, err := l.transport.FetchManifest(ctx, key, parent)
		if err != nil {
			return nil, err
		}
		return l.cacheManifest(key, text)
	}
	if plan.Model.Origin == "" {
		return nil, errNoOrigin
	}
	originManifest, err := l.origin.Manifest(ctx, plan.Model.Origin, wanted.model, wanted.version)
	if err != nil {
		return nil, err
	}
	text, err := convertManifest(originManifest, wanted, plan.Model.Chunks)
	if err != nil {
		return nil, err
	}
	return l.cacheManifest(key, text)
}

var errNoOrigin = errors.New("configuration has no weight origin")

// convertManifest validates the origin's manifest and encodes it in the internal format.
func convertManifest(originManifest engine.Manifest, wanted modelVersion, chunks int) ([]byte, error) {
	switch {
	case originManifest.Model != wanted.model || originManifest.Version <= 0 || (wanted.version > 0 && originManifest.Version != wanted.version):
		return nil, errors.Newf("origin returned the manifest of model %s version %d", originManifest.Model, originManifest.Version)
	case len(originManifest.Digests) != chunks:
		return nil, errors.Newf("origin returned a manifest with an unexpected number of chunks: %d", len(originManifest.Digests))
	}
	digests := make([]weights.Digest, 0, len(originManifest.Digests))
	for index, text := range originManifest.Digests {
		digest, err := weights.ParseDigest(text)
		if err != nil {
			return nil, errors.Wrapf(err, "chunk %d", index)
		}
		digests = append(digests, digest)
	}
	_, text, err := weights.NewManifest(wanted.model, strconv.FormatInt(originManifest.Version, 10), originManifest.ChunkBytes, digests)
	return text, err
}

// cacheManifest decodes an encoded manifest and caches it for other instances, under the
// given key and under the key of its version.
func (l *Loader) cacheManifest(key string, text []byte) (*weights.Manifest, error) {
	manifest, err := weights.DecodeManifest(text, weights.Sum(text))
	if err != nil {
		return nil, err
	}
	l.transport.CacheManifest(key, text)
	l.transport.CacheManifest(manifestKey(modelVersion{manifest.Model, versionOf(manifest)}), text)
	return manifest, nil
}

// versionOf returns the version of a weight set, or 0 if its manifest has no numeric
// version.
func versionOf(manifest *weights.Manifest) int64 {
	version, err := strconv.ParseInt(manifest.Version, 10, 64)
	if err != nil {
		return 0
	}
	return version
}
