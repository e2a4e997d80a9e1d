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
	// manifestPeerWait is how long another instance is asked for a manifest before the
	// origin is: several times what the way through the tree takes.
	manifestPeerWait = 400 * time.Millisecond
	// manifestPause is the pause between two tries, about the time in which the
	// instance above gets it.
	manifestPause = 50 * time.Millisecond
	// manifestLogEvery is the number of failed tries that share a log line.
	manifestLogEvery = 10
)

// manifestKey names a manifest among instances.
func manifestKey(wanted goal) string {
	return wanted.model + "@" + strconv.FormatInt(wanted.version, 10)
}

// manifestOf returns the manifest of the wanted weights.
func (l *Loader) manifestOf(ctx context.Context, wanted goal) (*weights.Manifest, error) {
	var last error
	start := time.Now()
	for try := 0; ctx.Err() == nil; try++ {
		manifest, err := l.readManifest(ctx, wanted, time.Since(start) < manifestPeerWait)
		if err == nil {
			return manifest, nil
		}
		last = err
		if try%manifestLogEvery == manifestLogEvery-1 {
			l.Log.Emit(event.ManifestFailed, event.Fields{"model": wanted.model, "version": wanted.version, "tries": try + 1, "error": err.Error()})
		}
		concurrency.Sleep(ctx, manifestPause)
	}
	return nil, errors.CombineErrors(ctx.Err(), last)
}

// readManifest asks the instance above in a tree over the members, or the origin.
func (l *Loader) readManifest(ctx context.Context, wanted goal, fromPeer bool) (*weights.Manifest, error) {
	key := manifestKey(wanted)
	plan, _ := l.plans.current()
	parent, hasParent := transport.ManifestParent(key, l.self().Name, instances(plan.Members.Instances, everyMember))
	if hasParent && fromPeer {
		text, err := l.carrier.FetchManifest(ctx, key, parent)
		if err != nil {
			return nil, err
		}
		return l.keepManifest(key, text)
	}
	if plan.Model.Origin == "" {
		return nil, errNoOrigin
	}
	described, err := l.origin.Manifest(ctx, plan.Model.Origin, wanted.model, wanted.version)
	if err != nil {
		return nil, err
	}
	text, err := translate(described, wanted, plan.Model.Chunks)
	if err != nil {
		return nil, err
	}
	return l.keepManifest(key, text)
}

var errNoOrigin = errors.New("the configuration names no origin of weights")

// translate checks the origin's manifest and returns it as the project's own text.
func translate(described engine.Manifest, wanted goal, chunks int) ([]byte, error) {
	switch {
	case described.Model != wanted.model || described.Version <= 0 || (wanted.version > 0 && described.Version != wanted.version):
		return nil, errors.Newf("the origin answered with the manifest of %s version %d", described.Model, described.Version)
	case len(described.Digests) != chunks:
		return nil, errors.Newf("the origin's manifest has %d chunks", len(described.Digests))
	}
	digests := make([]weights.Digest, 0, len(described.Digests))
	for index, text := range described.Digests {
		digest, err := weights.ParseDigest(text)
		if err != nil {
			return nil, errors.Wrapf(err, "chunk %d", index)
		}
		digests = append(digests, digest)
	}
	_, text, err := weights.NewManifest(wanted.model, strconv.FormatInt(described.Version, 10), described.ChunkBytes, digests)
	return text, err
}

// keepManifest decodes a manifest's text and keeps it for other instances.
func (l *Loader) keepManifest(key string, text []byte) (*weights.Manifest, error) {
	manifest, err := weights.DecodeManifest(text, weights.Sum(text))
	if err != nil {
		return nil, err
	}
	l.carrier.CacheManifest(key, text)
	l.carrier.CacheManifest(manifestKey(goal{manifest.Model, versionOf(manifest)}), text)
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
