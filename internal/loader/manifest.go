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
	// manifestPeerTimeout is how long another instance is asked for a manifest before the
	// origin is: several times what the way through the tree takes.
	manifestPeerTimeout = 400 * time.Millisecond
	// manifestRetryDelay is the pause between two tries, about the time in which the
	// instance above gets it.
	manifestRetryDelay = 50 * time.Millisecond
	// manifestLogInterval is the number of failed tries that share a log line.
	manifestLogInterval = 10
)

// manifestKey names a manifest among instances.
func manifestKey(wanted modelVersion) string {
	return wanted.model + "@" + strconv.FormatInt(wanted.version, 10)
}

// fetchManifest returns the manifest of the wanted weights.
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

// tryFetchManifest asks the instance above in a tree over the members, or the origin.
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

var errNoOrigin = errors.New("the configuration names no origin of weights")

// convertManifest checks the origin's manifest and returns it as the project's own text.
func convertManifest(originManifest engine.Manifest, wanted modelVersion, chunks int) ([]byte, error) {
	switch {
	case originManifest.Model != wanted.model || originManifest.Version <= 0 || (wanted.version > 0 && originManifest.Version != wanted.version):
		return nil, errors.Newf("the origin answered with the manifest of %s version %d", originManifest.Model, originManifest.Version)
	case len(originManifest.Digests) != chunks:
		return nil, errors.Newf("the origin's manifest has %d chunks", len(originManifest.Digests))
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

// cacheManifest decodes a manifest's text and keeps it for other instances.
func (l *Loader) cacheManifest(key string, text []byte) (*weights.Manifest, error) {
	manifest, err := weights.DecodeManifest(text, weights.Sum(text))
	if err != nil {
		return nil, err
	}
	l.transport.CacheManifest(key, text)
	l.transport.CacheManifest(manifestKey(modelVersion{manifest.Model, versionOf(manifest)}), text)
	return manifest, nil
}

// versionOf returns the version of a set, 0 if its manifest names none.
func versionOf(manifest *weights.Manifest) int64 {
	version, err := strconv.ParseInt(manifest.Version, 10, 64)
	if err != nil {
		return 0
	}
	return version
}
