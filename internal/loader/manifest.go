package loader

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
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
	// After manifestOriginTimeout the other instances take turns at the origin, groups of
	// originGroup for originTurn each, so that those that it rejects do not keep out those that
	// could pass the manifest on.
	originGroup = 8
	originTurn  = maxManifestRetryDelay
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

// tryFetchManifest requests the manifest from another instance or from the origin, and caches
// it for other instances.
func (l *Loader) tryFetchManifest(ctx context.Context, wanted modelVersion, attempt int, waited time.Duration) (*weights.Manifest, error) {
	plan, _ := l.plans.current()
	var manifest *weights.Manifest
	var err error
	if peer, ok := l.manifestPeer(plan, wanted, attempt, waited); ok {
		manifest, err = l.requestFromPeer(ctx, plan, wanted, peer)
	} else {
		manifest, err = l.requestFromOrigin(ctx, plan, wanted)
	}
	if err != nil {
		return nil, err
	}
	return manifest, l.cacheManifest(wanted, manifest)
}

// manifestPeer returns the instance to request the manifest from, and false for the origin:
// first the parent in the tree over the members, then in turn the instances that serve the
// version and the first instances of the tree. The root requests it from the origin at
// once, the instances that may replace it after manifestParentTimeout, and the others
// in turns after manifestOriginTimeout.
func (l *Loader) manifestPeer(plan Plan, wanted modelVersion, attempt int, waited time.Duration) (membership.Instance, bool) {
	sources := l.manifestSources(plan, wanted)
	switch {
	case !sources.hasParent:
		return membership.Instance{}, false
	case waited < manifestParentTimeout:
		return sources.parent, true
	case !sources.hasOriginTurn(waited):
		return sources.others[attempt%len(sources.others)], true
	}
	return membership.Instance{}, false
}

// manifestSources are the instances from which an instance requests a manifest.
type manifestSources struct {
	// parent is the parent in the tree over the members, unless this instance is its root.
	parent    membership.Instance
	hasParent bool
	// rank is the position of this instance in the tree, count the number of instances there.
	rank, count int
	// others are instances that serve the version, and the first ones of the tree.
	others []membership.Instance
}

// isRoot reports whether the instance is among the first manifestRoots of the tree.
func (s *manifestSources) isRoot() bool { return s.rank < manifestRoots }

// hasOriginTurn reports whether an instance that has waited longer than manifestParentTimeout may
// request the manifest from the origin.
func (s *manifestSources) hasOriginTurn(waited time.Duration) bool {
	if s.isRoot() || waited < manifestOriginTimeout {
		return s.isRoot()
	}
	groups := (s.count + originGroup - 1) / originGroup
	return int((waited-manifestOriginTimeout)/originTurn)%groups == s.rank/originGroup
}

func (l *Loader) manifestSources(plan Plan, wanted modelVersion) manifestSources {
	key, self := manifestKey(wanted), l.self()
	members := filterInstances(plan.Members.Instances, allMembers)
	if !slices.ContainsFunc(members, func(member membership.Instance) bool { return member.Name == self.Name }) {
		// An instance whose engine is not registered yet must not take itself for the root.
		members = append(members, self)
	}
	tree := transport.NewManifestTree(key, members)
	sources := manifestSources{rank: tree.Rank(self.Name), count: len(members)}
	sources.parent, sources.hasParent = tree.Parent(sources.rank)
	serving := filterInstances(plan.Members.Instances, func(member Member) bool {
		return member.Version == wanted.version && wanted.version > 0 && member.Instance.Name != self.Name
	})
	sources.others = slices.Concat(membership.TopRanked(self.Name, serving, manifestRoots), tree.Roots(manifestRoots))
	return sources
}

// requestFromPeer requests the manifest from another instance.
func (l *Loader) requestFromPeer(ctx context.Context, plan Plan, wanted modelVersion, peer membership.Instance) (*weights.Manifest, error) {
	text, err := l.transport.FetchManifest(ctx, manifestKey(wanted), peer)
	if err != nil {
		return nil, err
	}
	decoded, err := weights.DecodeManifest(text, weights.Sum(text))
	if err != nil {
		return nil, errors.Wrapf(err, "instance %s", peer.Name)
	}
	return newManifest(decoded.Model, versionOf(decoded), decoded.ChunkBytes, decoded.Positions(), wanted, plan.Model)
}

// maxOriginManifests is the maximum number of manifests that one request to the origin
// downloads until two of them are equal.
const maxOriginManifests = 6

// requestFromOrigin downloads the manifest from the origin until two answers are equal, since
// the origin's answers may be corrupted. If the origin answers only once, that answer is
// returned as it is, unless it is also the only source of the version.
func (l *Loader) requestFromOrigin(ctx context.Context, plan Plan, wanted modelVersion) (*weights.Manifest, error) {
	if plan.Model.Origin == "" {
		return nil, errNoOrigin
	}
	var manifests [2]*weights.Manifest
	var failures [2]error
	group := concurrency.NewGroup(ctx)
	for index := range manifests {
		group.Go(func(ctx context.Context) { manifests[index], failures[index] = l.downloadManifest(ctx, plan, wanted) })
	}
	group.Wait()
	if err := errors.CombineErrors(failures[0], failures[1]); err != nil {
		if manifest := cmp.Or(manifests[0], manifests[1]); manifest != nil && wanted.version > 0 {
			return manifest, nil
		}
		return nil, err
	}
	seen := map[weights.Digest]bool{manifests[0].Digest(): true}
	manifest := manifests[1]
	for range maxOriginManifests - len(manifests) {
		if seen[manifest.Digest()] {
			return manifest, nil
		}
		seen[manifest.Digest()] = true
		next, err := l.downloadManifest(ctx, plan, wanted)
		if err != nil {
			return nil, err
		}
		manifest = next
	}
	if !seen[manifest.Digest()] {
		return nil, errors.Newf("origin returned %d different manifests of model %s version %d", maxOriginManifests, wanted.model, wanted.version)
	}
	return manifest, nil
}

// downloadManifest downloads the manifest from the origin once.
func (l *Loader) downloadManifest(ctx context.Context, plan Plan, wanted modelVersion) (*weights.Manifest, error) {
	answer, err := l.origin.Manifest(ctx, plan.Model.Origin, wanted.model, wanted.version)
	l.originRequests.record(purposeManifest, err)
	if err != nil {
		return nil, err
	}
	digests := make([]weights.Digest, 0, len(answer.Digests))
	for index, text := range answer.Digests {
		digest, err := weights.ParseDigest(text)
		if err != nil {
			return nil, errors.Wrapf(err, "chunk %d", index)
		}
		digests = append(digests, digest)
	}
	manifest, err := newManifest(answer.Model, answer.Version, answer.ChunkBytes, digests, wanted, plan.Model)
	return manifest, errors.Wrap(err, "origin")
}

var errNoOrigin = errors.New("configuration has no weight origin")

// newManifest returns the manifest of a weight set, or an error if it can't be the wanted one
// of the model.
func newManifest(model string, version int64, chunkBytes int, chunks []weights.Digest, wanted modelVersion, expected ModelPart) (*weights.Manifest, error) {
	switch {
	case model != wanted.model || version <= 0 || (wanted.version > 0 && version != wanted.version):
		return nil, errors.Newf("received the manifest of model %s version %d", model, version)
	case len(chunks) != expected.Chunks:
		return nil, errors.Newf("received a manifest with %d chunks, the configuration has %d", len(chunks), expected.Chunks)
	case expected.ChunkBytes > 0 && chunkBytes != expected.ChunkBytes:
		return nil, errors.Newf("received a manifest with %d bytes a chunk, the configuration has %d", chunkBytes, expected.ChunkBytes)
	}
	manifest, _, err := weights.NewManifest(model, strconv.FormatInt(version, 10), chunkBytes, chunks)
	return manifest, err
}

// cacheManifest caches a manifest for other instances, under the wanted version and under its
// own.
func (l *Loader) cacheManifest(wanted modelVersion, manifest *weights.Manifest) error {
	text, err := manifest.Encode()
	if err != nil {
		return err
	}
	l.transport.CacheManifest(manifestKey(wanted), text)
	l.transport.CacheManifest(manifestKey(modelVersion{manifest.Model, versionOf(manifest)}), text)
	return nil
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
