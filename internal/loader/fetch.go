package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// fetchCheckInterval is how often the complete weight sets are compared with the
	// wanted version if no change is signaled.
	fetchCheckInterval = 500 * time.Millisecond
	// fetchRetryDelay is the delay after a failed fetch, and while no version is wanted.
	fetchRetryDelay = 100 * time.Millisecond
	// lateJoinThreshold is how long after the request for a version a loader must start to
	// count as a late joiner of its rollout: by then the others have some of the chunks.
	lateJoinThreshold = time.Second
	// maxPinnedSets is the maximum number of pinned weight sets: the wanted one, the served
	// one, and one that was superseded during its rollout.
	maxPinnedSets = 3
)

// fetchLoop fetches the chunks of the wanted version into memory, repeatedly, until ctx
// is done.
func (l *Loader) fetchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := l.plans.current()
		wanted, ok := l.wantedVersion()
		switch {
		case !ok:
			waitForChange(ctx, changed, fetchRetryDelay)
		case l.weightSets.complete(wanted.version):
			waitForChange(ctx, changed, concurrency.UntilTick(fetchCheckInterval))
		default:
			if err := l.fetchWeightSet(ctx, wanted); err != nil && ctx.Err() == nil {
				l.Log.Emit(event.FetchFailed, event.Fields{"model": wanted.model, "version": wanted.version, "error": err.Error()})
				concurrency.Sleep(ctx, fetchRetryDelay)
			}
		}
	}
}

// fetchWeightSet fetches the wanted weight set. It stops without an error if a newer
// version supersedes it before it is worth completing.
func (l *Loader) fetchWeightSet(ctx context.Context, wanted modelVersion) error {
	start := time.Now()
	l.Log.Emit(event.RolloutStarted, event.Fields{"model": wanted.model, "version": wanted.version})
	fetchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchGroup := concurrency.NewGroup(fetchCtx)
	watchGroup.Go(func(ctx context.Context) { l.cancelWhenSuperseded(ctx, wanted, cancel) })
	manifest, staged, err := l.fetchChunks(fetchCtx, wanted)
	l.readiness.fetchEnded()
	superseded := fetchCtx.Err() != nil && ctx.Err() == nil
	watchGroup.Stop()
	watchGroup.Wait()
	if superseded {
		fields := event.Fields{"model": wanted.model, "version": wanted.version}
		if manifest != nil {
			fields["missing"] = l.store.Missing(manifest)
		}
		l.Log.Emit(event.RolloutAbandoned, fields)
		return nil
	}
	if err != nil {
		return err
	}
	l.weightSets.add(wanted.version, manifest)
	l.metrics.fetchTime.Observe(time.Since(start).Seconds())
	l.Log.Emit(event.SetComplete, event.Fields{
		"model": wanted.model, "version": versionOf(manifest), "tookMs": time.Since(start).Milliseconds(), "fromEngine": staged,
	})
	return nil
}

// fetchChunks fetches the manifest and all chunks of the wanted set. It returns the
// manifest and the number of chunks that were already staged at the engine.
func (l *Loader) fetchChunks(ctx context.Context, wanted modelVersion) (manifest *weights.Manifest, staged int, err error) {
	manifest, err = l.fetchManifest(ctx, wanted)
	if err != nil {
		return nil, 0, err
	}
	for {
		if err := l.pin(manifest); err != nil {
			return manifest, staged, err
		}
		staged += l.importStaged(ctx, manifest)
		l.readiness.fetchStarted(manifest, l.store.Missing(manifest), time.Now())
		replacement, err := l.fetchUntilReplaced(ctx, wanted, manifest)
		if replacement == nil || err != nil {
			return manifest, staged, err
		}
		if err := l.replaceManifest(wanted, manifest, replacement); err != nil {
			return manifest, staged, err
		}
		manifest = replacement
	}
}

// fetchUntilReplaced fetches the chunks of a manifest. If another manifest turns up that is
// likelier to be right, it returns that one at once.
func (l *Loader) fetchUntilReplaced(ctx context.Context, wanted modelVersion, manifest *weights.Manifest) (*weights.Manifest, error) {
	plan, _ := l.plans.current()
	since := l.plans.wantedSince(wanted.version)
	l.fetcher.JoinedLate = !since.IsZero() && l.started.Sub(since) > lateJoinThreshold
	checkCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := concurrency.NewGroup(checkCtx)
	var replacement *weights.Manifest
	group.Go(func(ctx context.Context) {
		if replacement = l.awaitReplacement(ctx, wanted, manifest); replacement != nil {
			cancel()
		}
	})
	err := l.fetcher.Fetch(checkCtx, manifest, l.chooseSources(plan, versionOf(manifest)))
	group.Stop()
	group.Wait()
	if err != nil && replacement != nil && ctx.Err() == nil {
		return replacement, nil
	}
	return nil, err
}

// cancelWhenSuperseded cancels the fetch of a version that a newer one supersedes, once
// the older one is no longer worth completing. All instances use the same deadline, so
// that they switch to the newer version together.
func (l *Loader) cancelWhenSuperseded(ctx context.Context, current modelVersion, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		_, changed := l.plans.current()
		newer, ok := l.wantedVersion()
		if !ok || newer == current {
			waitForChange(ctx, changed, time.Second)
			continue
		}
		if deadline := l.fetchDeadline(current, newer); time.Now().Before(deadline) {
			waitForChange(ctx, changed, time.Until(deadline))
			continue
		}
		cancel()
		return
	}
}

const (
	// supersedeWindow is the time after the request for a version within which a newer
	// version cancels its fetch, since only few of its chunks have been received.
	supersedeWindow = time.Second
	// minUsefulTime is how long before the rollout deadline of the newer version the older
	// one must be complete to be useful.
	minUsefulTime = 3 * time.Second
)

// fetchDeadline returns the time until which a version is fetched although a newer one is
// wanted.
func (l *Loader) fetchDeadline(current, newer modelVersion) time.Time {
	currentSince, newerSince := l.plans.wantedSince(current.version), l.plans.wantedSince(newer.version)
	if currentSince.IsZero() || newerSince.Sub(currentSince) < supersedeWindow {
		return newerSince
	}
	return newerSince.Add(l.Deployment.Bounds.Rollout - minUsefulTime)
}

// weightSets tracks the pinned weight sets and those of them that are complete. It is safe
// for concurrent use.
type weightSets struct {
	mu sync.Mutex
	// byWantedVersion holds the complete sets by wanted version, which may be 0, and by
	// their own version.
	byWantedVersion map[int64]*weights.Manifest
	// pinned holds the pinned sets, the most recently pinned one last.
	pinned  []*weights.Manifest
	changed chan struct{}
}

func (s *weightSets) complete(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byWantedVersion[version] != nil
}

// ofVersion returns the complete set of a version, or nil.
func (s *weightSets) ofVersion(version int64) *weights.Manifest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byWantedVersion[version]
}

func (s *weightSets) add(version int64, manifest *weights.Manifest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byWantedVersion[version] = manifest
	s.byWantedVersion[versionOf(manifest)] = manifest
	close(s.changed)
	s.changed = make(chan struct{})
}

// newest returns the newest complete set, or nil if there is none, and a channel that is
// closed when another set is complete.
func (s *weightSets) newest() (*weights.Manifest, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newest *weights.Manifest
	for _, manifest := range s.byWantedVersion {
		if newest == nil || versionOf(manifest) > versionOf(newest) {
			newest = manifest
		}
	}
	return newest, s.changed
}

// pin pins the chunks of a set in the store, and unpins the sets that were pinned longest
// ago if there are too many or the store has too little space.
func (l *Loader) pin(manifest *weights.Manifest) error {
	l.weightSets.mu.Lock()
	defer l.weightSets.mu.Unlock()
	if !slices.ContainsFunc(l.weightSets.pinned, func(pinned *weights.Manifest) bool { return pinned.Digest() == manifest.Digest() }) {
		l.weightSets.pinned = append(l.weightSets.pinned, manifest)
	}
	for len(l.weightSets.pinned) > maxPinnedSets {
		l.weightSets.unpinOldest(l.store)
	}
	err := l.store.Pin(manifest)
	for errors.Is(err, weights.ErrTooLarge) && len(l.weightSets.pinned) > 1 {
		l.weightSets.unpinOldest(l.store)
		err = l.store.Pin(manifest)
	}
	l.chunkLocations.add(manifest, l.store.Accepts)
	return err
}

// replacePinned pins a set in the place of another one.
func (s *weightSets) replacePinned(store *weights.Store, old, replacement *weights.Manifest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := store.Pin(replacement)
	store.Unpin(old.Digest())
	if errors.Is(err, weights.ErrTooLarge) {
		err = store.Pin(replacement)
	}
	for index, pinned := range s.pinned {
		if pinned.Digest() == old.Digest() {
			s.pinned[index] = replacement
		}
	}
	return err
}

// unpinOldest unpins and removes the set that was pinned longest ago.
func (s *weightSets) unpinOldest(store *weights.Store) {
	oldest := s.pinned[0]
	s.pinned = s.pinned[1:]
	store.Unpin(oldest.Digest())
	for version, manifest := range s.byWantedVersion {
		if manifest == oldest {
			delete(s.byWantedVersion, version)
		}
	}
}

// importStaged copies the chunks of a set that the engine has staged into the store, so
// that they need not be fetched, and returns their number.
func (l *Loader) importStaged(ctx context.Context, manifest *weights.Manifest) int {
	imported := 0
	for index, chunk := range manifest.Positions() {
		if l.store.Has(chunk) {
			continue
		}
		data, err := l.engine.StagedChunk(ctx, manifest.Model, index)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			// The engine does not respond; its chunks are fetched from elsewhere.
			return imported
		}
		if l.store.Put(chunk, data) == nil {
			l.metrics.chunks.WithLabelValues(sourceEngine).Inc()
			imported++
		}
	}
	return imported
}
