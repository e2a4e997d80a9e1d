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
	// supplyInterval is how often the held chunks are compared with the goal if
	// nothing changed.
	supplyInterval = 500 * time.Millisecond
	// supplyPause is the pause after a failed step.
	supplyPause = 100 * time.Millisecond
	// lateAfter is how long after a version was named a loader that starts counts as late
	// for its burst: the others hold a part of it.
	lateAfter = time.Second
	// maxSets is the number of sets that are kept: the wanted one, the one served,
	// and one that was replaced on the way.
	maxSets = 3
)

// supply holds the chunks of the wanted set in memory, again and again, until ctx
// ends.
func (l *Loader) supply(ctx context.Context) {
	for ctx.Err() == nil {
		_, changed := l.plans.current()
		wanted, known := l.want()
		switch {
		case !known:
			wait(ctx, changed, supplyPause)
		case l.sets.complete(wanted.version):
			wait(ctx, changed, supplyInterval)
		default:
			if err := l.supplyOnce(ctx, wanted); err != nil && ctx.Err() == nil {
				l.Log.Emit(event.ManifestFailed, event.Fields{"model": wanted.model, "version": wanted.version, "error": err.Error()})
				concurrency.Sleep(ctx, supplyPause)
			}
		}
	}
}

// supplyOnce fetches the wanted set. It gives up without an error if a newer set is
// wanted and much is missing.
func (l *Loader) supplyOnce(ctx context.Context, wanted goal) error {
	start := time.Now()
	l.Log.Emit(event.RolloutStarted, event.Fields{"model": wanted.model, "version": wanted.version})
	fetching, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := concurrency.NewGroup(fetching)
	watch.Go(func(ctx context.Context) { l.cancelWhenReplaced(ctx, wanted, cancel) })
	manifest, staged, err := l.collect(fetching, wanted)
	replaced := fetching.Err() != nil && ctx.Err() == nil
	watch.Stop()
	watch.Wait()
	if replaced {
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
	l.sets.add(wanted.version, manifest)
	l.meter.fetchTime.Observe(time.Since(start).Seconds())
	l.Log.Emit(event.SetComplete, event.Fields{
		"model": wanted.model, "version": versionOf(manifest), "tookMs": time.Since(start).Milliseconds(), "fromEngine": staged,
	})
	return nil
}

// collect returns the manifest of the wanted set once each of its chunks is held, and how
// many of them the engine had staged.
func (l *Loader) collect(ctx context.Context, wanted goal) (manifest *weights.Manifest, staged int, err error) {
	manifest, err = l.manifestOf(ctx, wanted)
	if err != nil {
		return nil, 0, err
	}
	if err := l.pin(manifest); err != nil {
		return manifest, 0, err
	}
	staged = l.takeOverStaged(ctx, manifest)
	plan, _ := l.plans.current()
	named := l.plans.namedAt(wanted.version)
	l.fetcher.JoinedLate = !named.IsZero() && l.started.Sub(named) > lateAfter
	return manifest, staged, l.fetcher.Fetch(ctx, manifest, l.arrange(plan, versionOf(manifest)))
}

// cancelWhenReplaced ends the work for a goal that a newer one replaced, once it is not
// worth finishing. Every instance decides by the same times, so that they go on to the
// newer one together.
func (l *Loader) cancelWhenReplaced(ctx context.Context, current goal, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		_, changed := l.plans.current()
		now, known := l.want()
		if !known || now == current {
			wait(ctx, changed, time.Second)
			continue
		}
		if until := l.finishUntil(current, now); time.Now().Before(until) {
			wait(ctx, changed, time.Until(until))
			continue
		}
		cancel()
		return
	}
}

const (
	// skipWithin is the time within which a newer version makes the older one not worth
	// fetching: little of it has arrived.
	skipWithin = time.Second
	// leastUse is how long before the newer version is due the older one must be held
	// to be of use.
	leastUse = 3 * time.Second
)

// finishUntil returns until when a set is fetched although a newer one is wanted.
func (l *Loader) finishUntil(current, newer goal) time.Time {
	named, namedNewer := l.plans.namedAt(current.version), l.plans.namedAt(newer.version)
	if named.IsZero() || namedNewer.Sub(named) < skipWithin {
		return namedNewer
	}
	return namedNewer.Add(l.Deployment.Bounds.Rollout - leastUse)
}

// heldSets remembers which sets are held whole. It is safe for concurrent use.
type heldSets struct {
	mu sync.Mutex
	// byGoal holds the sets by the version that was wanted, which may be 0.
	byGoal map[int64]*weights.Manifest
	// order holds the sets, the one that was pinned last at the end.
	order   []*weights.Manifest
	changed chan struct{}
}

func (h *heldSets) complete(version int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byGoal[version] != nil
}

func (h *heldSets) add(version int64, manifest *weights.Manifest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byGoal[version] = manifest
	h.byGoal[versionOf(manifest)] = manifest
	close(h.changed)
	h.changed = make(chan struct{})
}

// newest returns the newest set that is held whole, nil if there is none, and a
// channel that is closed when another one is.
func (h *heldSets) newest() (*weights.Manifest, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var best *weights.Manifest
	for _, manifest := range h.byGoal {
		if best == nil || versionOf(manifest) > versionOf(best) {
			best = manifest
		}
	}
	return best, h.changed
}

// pin makes the set's chunks wanted and drops the sets that were pinned longest ago.
func (l *Loader) pin(manifest *weights.Manifest) error {
	l.sets.mu.Lock()
	defer l.sets.mu.Unlock()
	if !slices.ContainsFunc(l.sets.order, func(held *weights.Manifest) bool { return held.Digest() == manifest.Digest() }) {
		l.sets.order = append(l.sets.order, manifest)
	}
	for len(l.sets.order) > maxSets {
		l.sets.drop(l.store)
	}
	err := l.store.Pin(manifest)
	for errors.Is(err, weights.ErrTooLarge) && len(l.sets.order) > 1 {
		l.sets.drop(l.store)
		err = l.store.Pin(manifest)
	}
	l.places.note(manifest, l.store.Wants)
	return err
}

// drop forgets the set that was pinned longest ago.
func (h *heldSets) drop(store *weights.Store) {
	oldest := h.order[0]
	h.order = h.order[1:]
	store.Unpin(oldest.Digest())
	for version, manifest := range h.byGoal {
		if manifest == oldest {
			delete(h.byGoal, version)
		}
	}
}

// takeOverStaged holds the chunks of a set that the engine has staged, so that they
// need not be fetched, and returns how many there are.
func (l *Loader) takeOverStaged(ctx context.Context, manifest *weights.Manifest) int {
	taken := 0
	for index, chunk := range manifest.Chunks() {
		if l.store.Has(chunk) {
			continue
		}
		data, err := l.engine.StagedChunk(ctx, manifest.Model, index)
		if errors.Is(err, platform.ErrNotFound) {
			continue
		}
		if err != nil {
			// The engine does not answer; what it has is fetched from elsewhere.
			return taken
		}
		if l.store.Put(chunk, data) == nil {
			l.meter.chunks.WithLabelValues(sourceEngine).Inc()
			taken++
		}
	}
	return taken
}
