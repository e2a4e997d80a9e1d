package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// loadInterval is how often the engine is compared with the held sets if nothing
	// changed.
	loadInterval = 200 * time.Millisecond
	// loadPause is the pause after a failed order.
	loadPause = 100 * time.Millisecond
	// loadPoll is how often the end of a load is looked for.
	loadPoll = 20 * time.Millisecond
	// firstTurn is when the first engine stops to load, after its weights were named:
	// about when they are everywhere.
	firstTurn = 3500 * time.Millisecond
	// lastTurnMargin is how long before the bound the last engine stops to load:
	// what runs there must finish first.
	lastTurnMargin = 1800 * time.Millisecond
	// stageTries is how often one chunk is staged before the whole step is repeated.
	stageTries = 3
)

// keepLoaded brings the engine to the newest set that is held whole, again and
// again, until ctx ends.
func (l *Loader) keepLoaded(ctx context.Context) {
	for ctx.Err() == nil {
		manifest, changed := l.sets.newest()
		status := l.status.current()
		switch {
		case manifest == nil, !status.Answering, status.Status.Busy, status.Status.Version(manifest.Model) >= versionOf(manifest):
			wait(ctx, changed, loadInterval)
		case l.awaitTurn(ctx, manifest, status.Status, changed):
			l.load(ctx, manifest)
		}
	}
}

// awaitTurn waits until this engine may stop taking work, and reports false if a
// newer set is held meanwhile. An engine that serves nothing need not wait.
func (l *Loader) awaitTurn(ctx context.Context, manifest *weights.Manifest, status engine.Status, changed <-chan struct{}) bool {
	if len(status.Weights) > 0 {
		wait(ctx, changed, time.Until(l.turn(manifest, status)))
	}
	newest, _ := l.sets.newest()
	return newest == manifest && ctx.Err() == nil
}

// turn returns when this engine may begin its load: the engines of a model take
// turns by rank, so that the last one is done within the bound. The turn of a version
// that was skipped counts, since the one that the engine serves is due to end then.
func (l *Loader) turn(manifest *weights.Manifest, status engine.Status) time.Time {
	plan, _ := l.plans.current()
	rank := 0
	for _, member := range plan.Members.Instances {
		if member.Instance.Name < l.Deployment.Instance.IP {
			rank++
		}
	}
	window := max(0, l.Deployment.Bounds.Rollout-firstTurn-lastTurnMargin)
	offset := firstTurn + window*time.Duration(rank)/time.Duration(max(1, len(plan.Members.Instances)))
	earliest := l.plans.namedAt(versionOf(manifest))
	for version := status.Version(manifest.Model) + 1; version < versionOf(manifest); version++ {
		if skipped := l.plans.namedAt(version); !skipped.IsZero() && skipped.Before(earliest) {
			earliest = skipped
		}
	}
	return earliest.Add(offset)
}

// load stages a set, checks what is staged, and orders the engine to load it.
func (l *Loader) load(ctx context.Context, manifest *weights.Manifest) {
	version := versionOf(manifest)
	fields := event.Fields{"model": manifest.Model, "version": version}
	before, result, err := l.order(ctx, manifest)
	l.meter.loads.WithLabelValues(result.String()).Inc()
	if err != nil {
		fields["error"], fields["result"] = err.Error(), result.String()
		l.Log.Emit(event.LoadFailed, fields)
		concurrency.Sleep(ctx, loadPause)
		return
	}
	fields["orders"], fields["running"] = before.Orders, before.Running
	l.Log.Emit(event.LoadOrdered, fields)
	l.awaitLoad(ctx, manifest, before.Incarnation)
}

// order returns what the engine said before the order, and what became of it.
func (l *Loader) order(ctx context.Context, manifest *weights.Manifest) (engine.Status, engine.OrderResult, error) {
	if err := l.stage(ctx, manifest); err != nil {
		return engine.Status{}, engine.OrderRejected, err
	}
	before, err := l.engineStatus(ctx)
	if err != nil {
		return before, engine.OrderRejected, err
	}
	version := versionOf(manifest)
	result, err := l.engine.Load(ctx, engine.LoadOrder{Model: manifest.Model, Version: version, FencingToken: version, ExpectedOrders: before.Orders})
	return before, result, err
}

// stage gives the engine the chunks that it lacks or that went bad there, and reads
// all of them back, since what lies there may go bad.
func (l *Loader) stage(ctx context.Context, manifest *weights.Manifest) error {
	for tries := 0; ; tries++ {
		bad := 0
		for index, chunk := range manifest.Chunks() {
			good, err := l.stagedWhole(ctx, manifest.Model, index, chunk)
			if err != nil {
				return err
			}
			if good {
				continue
			}
			bad++
			data, err := l.store.Get(ctx, chunk)
			if err != nil {
				return errors.Wrapf(err, "chunk %d", index)
			}
			if err := l.engine.StageChunk(ctx, manifest.Model, index, data); err != nil {
				return err
			}
		}
		switch {
		case bad == 0:
			return nil
		case tries == stageTries:
			return errors.Newf("%d staged chunks are still bad", bad)
		}
	}
}

// stagedWhole reports whether the engine has a chunk staged as it should be.
func (l *Loader) stagedWhole(ctx context.Context, model string, index int, chunk weights.Digest) (bool, error) {
	data, err := l.engine.StagedChunk(ctx, model, index)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return weights.Sum(data) == chunk, err
}

// awaitLoad waits until the engine has carried out its order.
func (l *Loader) awaitLoad(ctx context.Context, manifest *weights.Manifest, incarnation int64) {
	start := time.Now()
	for concurrency.Sleep(ctx, loadPoll) {
		status, err := l.engineStatus(ctx)
		if err != nil || status.Incarnation != incarnation {
			return
		}
		l.status.set(status, true)
		if status.Version(manifest.Model) == versionOf(manifest) {
			l.meter.loadTime.Observe(time.Since(start).Seconds())
			l.Log.Emit(event.LoadCompleted, event.Fields{"model": manifest.Model, "version": versionOf(manifest), "tookMs": time.Since(start).Milliseconds()})
			return
		}
		if !status.Busy {
			return
		}
	}
}
