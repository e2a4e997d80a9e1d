package loader

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/transport"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// manifestParentTimeout is how long a manifest is requested from the parent in the
	// tree before it is requested from others: several times the propagation time through
	// the tree.
	manifestParentTimeout = 400 * time.Millisecond
	// manifestOriginTimeout is how long an instance that is not among the first
	// manifestRoots requests a manifest from others before it requests it from the origin,
	// which accepts a few tens of connections.
	manifestOriginTimeout = 3 * time.Second
	// manifestRoots is the number of instances that request a manifest from the origin
	// after manifestParentTimeout: the root of the tree and those that replace it.
	manifestRoots = 3
	// minManifestRetryDelay and maxManifestRetryDelay bound the delay between attempts,
	// which starts at about the time in which the parent receives the manifest.
	minManifestRetryDelay = 50 * time.Millisecond
	maxManifestRetryDelay = 400 * time.Millisecond
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
	delay := minManifestRetryDelay
	for attempt := 0; ctx.Err() == nil; attempt++ {
		manifest, err := l.tryFetchManifest(ctx, wanted, attempt, time.Since(start))
		if err == nil {
			return manifest, nil
		}
		lastErr = err
		if attempt%manifestLogInterval == manifestLogInterval-1 {
			l.Log.Emit(event.ManifestFailed, event.Fields{"model": wanted.model, "version": wanted.version, "tries": attempt + 1, "error": err.Error()})
		}
		concurrency.Sleep(ctx, delay)
		delay = min(delay*5/4, maxManifestRetryDelay)
	}
	return nil, errors.CombineErrors(ctx.Err(), lastErr)
}

// tryFetchManifest requests the manifest from another instance or from the origin.
func (l *Loader) tryFetchManifest(ctx context.Context, wanted modelVersion, attempt int, waited time.Duration) (*weights.Manifest, error) {
	key := manifestKey(wanted)
	plan, _ := l.plans.current()
	if peer, ok := l.manifestPeer(plan, wanted, attempt, waited); ok {
		text, err := l.transport.FetchManifest(ctx, key, peer)
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

// manifestPeer returns the instance to request the manifest from, and false for the origin:
// first the parent in the tree over the members, then in turn the instances that serve the
// version and the first instances of the tree. The root requests it from the origin at
// once, the instances that may replace it after manifestParentTimeout, and the others
// after manifestOriginTimeout.
func (l *Loader) manifestPeer(plan Plan, wanted modelVersion, attempt int, waited time.Duration) (membership.Instance, bool) {
	key, self := manifestKey(wanted), l.self().Name
	members := filterInstances(plan.Members.Instances, allMembers)
	parent, hasParent := transport.ManifestParent(key, self, members)
	if !hasParent {
		return membership.Instance{}, false
	}
	if waited < manifestParentTimeout {
		return parent, true
	}
	isOther := func(instance membership.Instance) bool { return instance.Name != self }
	roots := transport.ManifestRoots(key, members, manifestRoots)
	if !slices.ContainsFunc(roots, func(root membership.Instance) bool { return root.Name == self }) && waited < manifestOriginTimeout {
		serving := filterInstances(plan.Members.Instances, func(member Member) bool { return member.Version == wanted.version && wanted.version > 0 })
		candidates := slices.Concat(membership.TopRanked(self, slices.DeleteFunc(serving, func(i membership.Instance) bool { return !isOther(i) }), manifestRoots), roots)
		return candidates[attempt%len(candidates)], true
	}
	return membership.Instance{}, false
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
