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
	// loadRetryDelay is the pause after a failed order.
	loadRetryDelay = 100 * time.Millisecond
	// loadPollInterval is how often the end of a load is looked for.
	loadPollInterval = 20 * time.Millisecond
	// firstLoadOffset is when the first engine stops to load, after its weights were named:
	// about when they are everywhere.
	firstLoadOffset = 3500 * time.Millisecond
	// lastLoadMargin is how long before the bound the last engine stops to load:
	// what runs there must finish first.
	lastLoadMargin = 1800 * time.Millisecond
	// maxStageRetries is how often one chunk is staged before the whole step is repeated.
	maxStageRetries = 3
)

// loadLoop brings the engine to the newest set that is held whole, again and
// again, until ctx ends.
func (l *Loader) loadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		manifest, changed := l.weightSets.newest()
		status := l.status.current()
		switch {
		case manifest == nil, !status.Answering, status.Status.Busy, status.Status.Version(manifest.Model) >= versionOf(manifest):
			waitForChange(ctx, changed, loadInterval)
		case l.awaitLoadStart(ctx, manifest, status.Status, changed):
			l.load(ctx, manifest)
		}
	}
}

// awaitLoadStart waits until this engine may stop taking work, and reports false if a
// newer set is held meanwhile. An engine that serves nothing need not wait.
func (l *Loader) awaitLoadStart(ctx context.Context, manifest *weights.Manifest, status engine.Status, changed <-chan struct{}) bool {
	if len(status.Weights) > 0 {
		waitForChange(ctx, changed, time.Until(l.loadStart(manifest, status)))
	}
	newest, _ := l.weightSets.newest()
	return newest == manifest && ctx.Err() == nil
}

// loadStart returns when this engine may begin its load: the engines of a model take
// turns by rank, so that the last one is done within the bound. The loadStart of a version
// that was skipped counts, since the one that the engine serves is due to end then.
func (l *Loader) loadStart(manifest *weights.Manifest, status engine.Status) time.Time {
	plan, _ := l.plans.current()
	rank := 0
	for _, member := range plan.Members.Instances {
		if member.Instance.Name < l.Deployment.Instance.IP {
			rank++
		}
	}
	window := max(0, l.Deployment.Bounds.Rollout-firstLoadOffset-lastLoadMargin)
	offset := firstLoadOffset + window*time.Duration(rank)/time.Duration(max(1, len(plan.Members.Instances)))
	earliest := l.plans.wantedSince(versionOf(manifest))
	for version := status.Version(manifest.Model) + 1; version < versionOf(manifest); version++ {
		if skippedSince := l.plans.wantedSince(version); !skippedSince.IsZero() && skippedSince.Before(earliest) {
			earliest = skippedSince
		}
	}
	return earliest.Add(offset)
}

// load stages a set, checks what is staged, and orders the engine to load it.
func (l *Loader) load(ctx context.Context, manifest *weights.Manifest) {
	version := versionOf(manifest)
	fields := event.Fields{"model": manifest.Model, "version": version}
	statusBefore, result, err := l.orderLoad(ctx, manifest)
	l.metrics.loads.WithLabelValues(result.String()).Inc()
	if err != nil {
		fields["error"], fields["result"] = err.Error(), result.String()
		l.Log.Emit(event.LoadFailed, fields)
		concurrency.Sleep(ctx, loadRetryDelay)
		return
	}
	fields["orders"], fields["running"] = statusBefore.Orders, statusBefore.Running
	l.Log.Emit(event.LoadOrdered, fields)
	l.awaitLoad(ctx, manifest, statusBefore.Incarnation)
}

// orderLoad returns what the engine said before the orderLoad, and what became of it.
func (l *Loader) orderLoad(ctx context.Context, manifest *weights.Manifest) (engine.Status, engine.OrderResult, error) {
	if err := l.stage(ctx, manifest); err != nil {
		return engine.Status{}, engine.OrderRejected, err
	}
	statusBefore, err := l.engineStatus(ctx)
	if err != nil {
		return statusBefore, engine.OrderRejected, err
	}
	version := versionOf(manifest)
	result, err := l.engine.Load(ctx, engine.LoadOrder{Model: manifest.Model, Version: version, FencingToken: version, ExpectedOrders: statusBefore.Orders})
	return statusBefore, result, err
}

// stage gives the engine the chunks that it lacks or that went bad there, and reads
// all of them back, since what lies there may go bad.
func (l *Loader) stage(ctx context.Context, manifest *weights.Manifest) error {
	for retries := 0; ; retries++ {
		corrupt := 0
		for index, chunk := range manifest.Chunks() {
			intact, err := l.stagedIntact(ctx, manifest.Model, index, chunk)
			if err != nil {
				return err
			}
			if intact {
				continue
			}
			corrupt++
			data, err := l.store.Get(ctx, chunk)
			if err != nil {
				return errors.Wrapf(err, "chunk %d", index)
			}
			if err := l.engine.Stage(ctx, manifest.Model, index, data); err != nil {
				return err
			}
		}
		switch {
		case corrupt == 0:
			return nil
		case retries == maxStageRetries:
			return errors.Newf("%d staged chunks are still bad", corrupt)
		}
	}
}

// stagedIntact reports whether the engine has a chunk staged as it should be.
func (l *Loader) stagedIntact(ctx context.Context, model string, index int, chunk weights.Digest) (bool, error) {
	data, err := l.engine.Staged(ctx, model, index)
	if errors.Is(err, platform.ErrNotHeld) {
		return false, nil
	}
	return weights.Sum(data) == chunk, err
}

// awaitLoad waits until the engine has carried out its order.
func (l *Loader) awaitLoad(ctx context.Context, manifest *weights.Manifest, incarnation int64) {
	start := time.Now()
	for concurrency.Sleep(ctx, loadPollInterval) {
		status, err := l.engineStatus(ctx)
		if err != nil || status.Incarnation != incarnation {
			return
		}
		l.status.set(status, true)
		if status.Version(manifest.Model) == versionOf(manifest) {
			l.metrics.loadTime.Observe(time.Since(start).Seconds())
			l.Log.Emit(event.LoadDone, event.Fields{"model": manifest.Model, "version": versionOf(manifest), "tookMs": time.Since(start).Milliseconds()})
			return
		}
		if !status.Busy {
			return
		}
	}
}
