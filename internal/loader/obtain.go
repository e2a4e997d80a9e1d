package loader

import (
	"context"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/carrier"
	"github.com/mimosaward/mimosaward/internal/duty"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// manifestPeerTries is how often other instances are asked for a manifest before
	// the origin is.
	manifestPeerTries = 8
	manifestPause     = 60 * time.Millisecond
)

// manifestKey names a manifest among instances.
func manifestKey(model string, version int64) string {
	return model + "@" + strconv.FormatInt(version, 10)
}

// obtain returns the manifest of the wanted weights and their version, pinned.
func (l *Loader) obtain(ctx context.Context, wanted goal) (*weights.Manifest, int64, error) {
	var last error
	for try := 0; ctx.Err() == nil; try++ {
		manifest, version, err := l.readManifest(ctx, wanted.model, wanted.version, try)
		if err == nil {
			return manifest, version, l.pin(manifest)
		}
		last = err
		duty.Sleep(ctx, manifestPause)
	}
	return nil, 0, errors.CombineErrors(ctx.Err(), last)
}

// readManifest asks the instance above in a tree over the members, and after
// several tries the origin.
func (l *Loader) readManifest(ctx context.Context, model string, version int64, try int) (*weights.Manifest, int64, error) {
	members := l.members()
	key := manifestKey(model, version)
	parent, hasParent := carrier.Parent(key, l.self().Name, members)
	if hasParent && try < manifestPeerTries {
		text, err := l.carrier.FetchManifest(ctx, key, parent)
		if err != nil {
			return nil, 0, err
		}
		return l.keepManifest(key, text)
	}
	origin, known := l.observer.Configuration().Origin()
	if !known {
		return nil, 0, errors.New("the configuration names no origin of weights")
	}
	described, err := l.origin.Manifest(ctx, origin.Address, model, version)
	if err != nil {
		return nil, 0, err
	}
	text, err := l.checkManifest(described, model, version)
	if err != nil {
		return nil, 0, err
	}
	return l.keepManifest(key, text)
}

// checkManifest turns the origin's manifest into the project's text.
func (l *Loader) checkManifest(described engine.Manifest, model string, version int64) ([]byte, error) {
	_, expected, _ := l.model()
	switch {
	case described.Model != model || described.Version <= 0 || (version > 0 && described.Version != version):
		return nil, errors.Newf("the origin answered with the manifest of %s version %d", described.Model, described.Version)
	case expected == nil || len(described.Digests) != expected.Chunks:
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
	_, text, err := weights.NewManifest(model, strconv.FormatInt(described.Version, 10), described.ChunkBytes, digests)
	return text, err
}

// keepManifest decodes a manifest's text and keeps it for other instances.
func (l *Loader) keepManifest(key string, text []byte) (*weights.Manifest, int64, error) {
	manifest, err := weights.DecodeManifest(text, weights.Sum(text))
	if err != nil {
		return nil, 0, err
	}
	version, err := strconv.ParseInt(manifest.Version, 10, 64)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "manifest %s", key)
	}
	l.carrier.KeepManifest(key, text)
	l.carrier.KeepManifest(manifestKey(manifest.Model, version), text)
	return manifest, version, nil
}

// pin makes the set's chunks wanted and drops the oldest sets that do not fit
// beside it.
func (l *Loader) pin(manifest *weights.Manifest) error {
	held := l.store.PinnedSets()
	sort.Slice(held, func(i, j int) bool { return l.versionOf(held[i]) < l.versionOf(held[j]) })
	for {
		err := l.store.Pin(manifest)
		if err == nil && len(held) < maxSets {
			l.places.note(manifest, l.versionOf(manifest.Digest()), l.store.Wants)
			return nil
		}
		if len(held) == 0 {
			return err
		}
		if held[0] != manifest.Digest() {
			l.store.Unpin(held[0])
		}
		held = held[1:]
	}
}

// maxSets is the number of sets that are kept: the wanted one, the one served, and
// one that was replaced on the way.
const maxSets = 3

func (l *Loader) versionOf(set weights.Digest) int64 {
	manifest, pinned := l.store.Pinned(set)
	if !pinned {
		return 0
	}
	version, err := strconv.ParseInt(manifest.Version, 10, 64)
	if err != nil {
		return 0
	}
	return version
}

// place says where the origin keeps a chunk.
type place struct {
	model   string
	version int64
	chunk   int
}

// places holds where the origin keeps the chunks of the sets seen last. It is safe
// for concurrent use.
type places struct {
	mu   sync.Mutex
	held map[weights.Digest]place
}

// note adds the chunks of a set, and drops those for which keep is false.
func (p *places) note(manifest *weights.Manifest, version int64, keep func(weights.Digest) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[weights.Digest]place, 2*len(manifest.Chunks()))
	for chunk, held := range p.held {
		if keep(chunk) {
			next[chunk] = held
		}
	}
	for index, chunk := range manifest.Chunks() {
		next[chunk] = place{model: manifest.Model, version: version, chunk: index}
	}
	p.held = next
}

func (p *places) of(chunk weights.Digest) (place, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held, known := p.held[chunk]
	return held, known
}

// fetchOrigin asks the origin for a chunk.
func (l *Loader) fetchOrigin(ctx context.Context, chunk weights.Digest) ([]byte, error) {
	origin, known := l.observer.Configuration().Origin()
	if !known {
		return nil, errors.New("the configuration names no origin of weights")
	}
	at, known := l.places.of(chunk)
	if !known {
		return nil, errors.Newf("no manifest names the chunk %s", chunk)
	}
	return l.origin.Chunk(ctx, origin.Address, at.model, at.version, at.chunk)
}

// homeRegion returns the region that the origin's link ends in.
func (l *Loader) homeRegion() string {
	origin, known := l.observer.Configuration().Origin()
	if !known {
		return ""
	}
	return l.Deployment.Regions[origin.AvailabilityZone]
}

// fetchAndStage fetches every chunk and stages each one as it arrives.
func (l *Loader) fetchAndStage(ctx context.Context, model string, manifest *weights.Manifest) error {
	l.takeOverStaged(ctx, model, manifest)
	l.fetcher.Home = l.homeRegion()
	group := duty.NewGroup(ctx)
	var staged error
	group.Go(func(ctx context.Context) { staged = l.stage(ctx, model, manifest) })
	err := l.fetcher.Fetch(ctx, manifest, l.members())
	if err != nil {
		group.Stop()
	}
	group.Wait()
	if err != nil {
		return err
	}
	return staged
}

// stage gives the engine each chunk once it is held.
func (l *Loader) stage(ctx context.Context, model string, manifest *weights.Manifest) error {
	for index, chunk := range manifest.Chunks() {
		data, err := l.store.Get(ctx, chunk)
		if err != nil {
			return errors.Wrapf(err, "chunk %d", index)
		}
		if err := l.stageOne(ctx, model, index, data); err != nil {
			return err
		}
	}
	return nil
}

// stageTries is how often one chunk is staged before the whole step is repeated.
const stageTries = 3

func (l *Loader) stageOne(ctx context.Context, model string, index int, data []byte) error {
	var err error
	for range stageTries {
		if err = l.engine.Stage(ctx, model, index, data); err == nil {
			return nil
		}
	}
	return err
}

// verifyStaged compares what is staged with the manifest and stages again what is
// missing or spoiled.
func (l *Loader) verifyStaged(ctx context.Context, model string, manifest *weights.Manifest) error {
	for index, chunk := range manifest.Chunks() {
		data, err := l.engine.Staged(ctx, model, index)
		if err == nil && weights.Sum(data) == chunk {
			continue
		}
		if err != nil && !errors.Is(err, platform.ErrNotHeld) {
			return err
		}
		held, err := l.store.Get(ctx, chunk)
		if err != nil {
			return errors.Wrapf(err, "chunk %d", index)
		}
		if err := l.stageOne(ctx, model, index, held); err != nil {
			return err
		}
	}
	return nil
}

// takeOverStaged holds the chunks of a set that the engine has staged, so that they
// need not be fetched.
func (l *Loader) takeOverStaged(ctx context.Context, model string, manifest *weights.Manifest) int {
	taken := 0
	for index, chunk := range manifest.Chunks() {
		if l.store.Has(chunk) {
			continue
		}
		data, err := l.engine.Staged(ctx, model, index)
		if err != nil {
			if errors.Is(err, platform.ErrNotHeld) {
				continue
			}
			return taken
		}
		if l.store.Put(chunk, data) == nil {
			taken++
		}
	}
	return taken
}

// adoptOnce holds the chunks of the weights that the engine serves, so that other
// instances can have them from here.
func (l *Loader) adoptOnce(ctx context.Context, model string, version int64) {
	if !l.adopted.due(version) {
		return
	}
	manifest, _, err := l.readManifest(ctx, model, version, 0)
	if err != nil {
		return
	}
	if err := l.pin(manifest); err != nil {
		return
	}
	l.takeOverStaged(ctx, model, manifest)
	l.adopted.done(version)
}
