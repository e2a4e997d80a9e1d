package loader

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// loadInterval is how often the engine's version is compared with the complete
	// weight sets if no change is signaled.
	loadInterval = 200 * time.Millisecond
	// loadRetryDelay is the delay after a failed load order.
	loadRetryDelay = 100 * time.Millisecond
	// loadPollInterval is how often the engine is polled for the end of a load.
	loadPollInterval = 20 * time.Millisecond
	// firstLoadOffset is the time from the request for a version until the first engine
	// stops serving to load it: about the time after which all instances have the
	// weights.
	firstLoadOffset = 3500 * time.Millisecond
	// lastLoadMargin is how long before the rollout deadline the last engine stops
	// serving to load: its running requests must finish first.
	lastLoadMargin = 1800 * time.Millisecond
	// corruptionTolerance is how long a staged chunk may have been corrupt when the engine loads
	// it: the limit in the users' specification.
	corruptionTolerance = 3 * time.Second
	// maxCheckAge is the maximum age of the first check of a staged chunk when the order to load
	// it is sent. The rest of corruptionTolerance is left for an engine that is silent for a
	// while before it accepts the order.
	maxCheckAge = corruptionTolerance / 2
	// unconfirmedOrderTimeout limits the wait for the response to an order whose chunks are read
	// back again afterwards.
	unconfirmedOrderTimeout = 2 * time.Second
)

// loadLoop makes the engine load the newest complete weight set, repeatedly, until ctx
// is done.
func (l *Loader) loadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		manifest, changed := l.weightSets.newest()
		status := l.status.current()
		switch {
		case status.Answering && !status.Status.Busy && l.unconfirmed.needsConfirmation(status.Status):
			l.confirmLoad(ctx)
			concurrency.Sleep(ctx, loadRetryDelay)
		case manifest != nil && l.unconfirmed.corruptVersion(status.Status) >= versionOf(manifest):
			waitForChange(ctx, changed, concurrency.UntilTick(loadInterval))
		case manifest == nil, !status.Answering, status.Status.Busy, status.Status.Version(manifest.Model) >= versionOf(manifest):
			waitForChange(ctx, changed, concurrency.UntilTick(loadInterval))
		case l.awaitLoadStart(ctx, manifest, status.Status, changed):
			l.load(ctx, manifest)
		}
	}
}

// awaitLoadStart waits until this engine may stop serving, and reports false if a newer
// weight set becomes complete meanwhile. An engine that serves no weights does not wait.
func (l *Loader) awaitLoadStart(ctx context.Context, manifest *weights.Manifest, status engine.Status, changed <-chan struct{}) bool {
	if len(status.Weights) > 0 {
		waitForChange(ctx, changed, time.Until(l.loadStart(manifest, status)))
	}
	newest, _ := l.weightSets.newest()
	return newest == manifest && ctx.Err() == nil
}

// loadStart returns when this engine may begin its load. The loads of a model's engines
// are staggered by rank, so that the last one completes within the rollout deadline. The
// start time of a skipped version applies if it is earlier, since the version that the
// engine serves must be replaced by then.
func (l *Loader) loadStart(manifest *weights.Manifest, status engine.Status) time.Time {
	plan, _ := l.plans.current()
	window := max(0, l.Deployment.Bounds.Rollout-firstLoadOffset-lastLoadMargin)
	rank := loadRank(manifest.Model+"@"+manifest.Version, l.Deployment.Instance.IP, plan.Members.Instances)
	offset := firstLoadOffset + window*time.Duration(rank)/time.Duration(max(1, len(plan.Members.Instances)))
	earliest := l.plans.wantedSince(versionOf(manifest))
	for version := status.Version(manifest.Model) + 1; version < versionOf(manifest); version++ {
		if skippedSince := l.plans.wantedSince(version); !skippedSince.IsZero() && skippedSince.Before(earliest) {
			earliest = skippedSince
		}
	}
	return earliest.Add(offset)
}

// loadRank returns the position of an instance in the order in which the engines load a
// weight set. The order mixes the availability zones, so that the engines of a zone, which
// serve the same callers, do not load at the same time.
func loadRank(weightSet, instance string, members []Member) int {
	score := membership.Score(weightSet, instance)
	rank := 0
	for _, member := range members {
		if membership.Score(weightSet, member.Instance.Name) > score {
			rank++
		}
	}
	return rank
}

// load stages a weight set, verifies the staged chunks, orders the engine to load them,
// and waits for the end of the load.
func (l *Loader) load(ctx context.Context, manifest *weights.Manifest) {
	l.readiness.loadStarted(time.Now())
	succeeded := false
	defer func() { l.readiness.loadEnded(succeeded, time.Now()) }()
	incarnation, result, err := l.orderLoad(ctx, manifest)
	switch {
	case err != nil:
		l.Log.Emit(event.LoadFailed, event.Fields{"model": manifest.Model, "version": versionOf(manifest), "error": err.Error(), "result": result.String()})
		concurrency.Sleep(ctx, loadRetryDelay)
	case result == engine.OrderInEffect:
		// An order without a response was accepted.
		concurrency.Sleep(ctx, loadRetryDelay)
	default:
		succeeded = l.awaitLoad(ctx, manifest, incarnation)
	}
}

// orderLoad verifies the staged chunks of a weight set and orders the engine to load them. If
// reading them back takes long, it orders the layers in parts, each right after its chunks were
// read. It returns the engine's incarnation and the result of the last order.
func (l *Loader) orderLoad(ctx context.Context, manifest *weights.Manifest) (int64, engine.OrderResult, error) {
	for {
		before, err := l.engineStatus(ctx)
		if err != nil {
			return 0, engine.OrderRejected, err
		}
		layout := l.layoutOf(manifest)
		from := 0
		if before.Layers.Version == versionOf(manifest) && before.Layers.From == 0 {
			from = before.Layers.To
		}
		if from >= layout.layers {
			return before.Incarnation, engine.OrderInEffect, nil
		}
		pass, err := l.verifyStaged(ctx, manifest, layout, from)
		if err != nil {
			return before.Incarnation, engine.OrderRejected, err
		}
		result, err := l.orderLayers(ctx, manifest, before.Incarnation, pass)
		l.metrics.loads.WithLabelValues(result.String()).Inc()
		if err != nil || pass.to == layout.layers {
			return before.Incarnation, result, err
		}
		if err := l.awaitLayers(ctx, manifest, before.Incarnation, pass.to); err != nil {
			return before.Incarnation, result, err
		}
	}
}

// orderLayers sends the order to load the layers of a pass over their staged chunks.
func (l *Loader) orderLayers(ctx context.Context, manifest *weights.Manifest, incarnation int64, pass *stagedPass) (engine.OrderResult, error) {
	status, err := l.engineStatus(ctx)
	if err != nil {
		return engine.OrderRejected, err
	}
	if status.Incarnation != incarnation {
		// Staged chunks don't survive a loss of power.
		return engine.OrderRejected, errors.New("the engine restarted while its staged chunks were read back")
	}
	age := pass.started.Elapsed()
	timeout := corruptionTolerance - age
	switch {
	case age <= maxCheckAge:
	case pass.isSmallest():
		// The chunks are read back once more before the engine serves what it loads from them.
		timeout = unconfirmedOrderTimeout
	default:
		return engine.OrderRejected, errors.Newf("the first staged chunk was read back %v ago", age)
	}
	version := versionOf(manifest)
	order := engine.LoadOrder{Model: manifest.Model, Version: version, FencingToken: version, ExpectedOrders: status.Orders}
	if pass.to < pass.layout.layers {
		order.To = pass.to
	}
	previous := l.unconfirmed.orderSent(unconfirmedLoad{incarnation: incarnation, ordersBefore: status.Orders, version: version, from: pass.from})
	orderCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := l.engine.Load(orderCtx, order)
	switch {
	case result == engine.OrderUnknown:
	case result != engine.OrderAccepted:
		l.unconfirmed.restore(previous)
	case pass.started.Elapsed() <= corruptionTolerance:
		l.unconfirmed.restore(nil)
	}
	if result == engine.OrderAccepted {
		l.Log.Emit(event.LoadOrdered, event.Fields{
			"model": manifest.Model, "version": version, "fromLayer": pass.from, "toLayer": pass.to, "orders": status.Orders, "running": status.Running,
			"readBackMs": pass.took.Milliseconds(), "checkAgeMs": age.Milliseconds(),
		})
	}
	return result, err
}

// awaitLayers waits until the engine has loaded the layers of a weight set up to, but not
// including, the given one.
func (l *Loader) awaitLayers(ctx context.Context, manifest *weights.Manifest, incarnation int64, to int) error {
	for concurrency.Sleep(ctx, loadPollInterval) {
		status, err := l.engineStatus(ctx)
		switch newest, _ := l.weightSets.newest(); {
		case err != nil:
			return err
		case status.Incarnation != incarnation:
			return errors.New("the engine restarted during a load")
		case newest != manifest:
			return errors.New("a newer weight set is complete")
		case status.Busy:
			l.setStatus(status)
			continue
		case status.Layers.Version != versionOf(manifest) || status.Layers.To < to:
			return errors.Newf("the engine ended the load of the layers below %d without success", to)
		}
		l.setStatus(status)
		if l.unconfirmed.accepted(status) {
			l.confirmLoad(ctx)
			if l.unconfirmed.accepted(status) {
				return errors.Newf("the loaded layers below %d could not be confirmed", to)
			}
		}
		return nil
	}
	return ctx.Err()
}

// awaitLoad waits until the engine serves the ordered version, and reports whether it does. It
// returns early if the engine fails, restarts or ends the load without success.
func (l *Loader) awaitLoad(ctx context.Context, manifest *weights.Manifest, incarnation int64) bool {
	start := time.Now()
	for concurrency.Sleep(ctx, loadPollInterval) {
		status, err := l.engineStatus(ctx)
		if err != nil || status.Incarnation != incarnation {
			return false
		}
		l.setStatus(status)
		if status.Version(manifest.Model) == versionOf(manifest) {
			l.metrics.loadTime.Observe(time.Since(start).Seconds())
			l.Log.Emit(event.LoadCompleted, event.Fields{"model": manifest.Model, "version": versionOf(manifest), "tookMs": time.Since(start).Milliseconds()})
			return true
		}
		if !status.Busy {
			return false
		}
	}
	return false
}
