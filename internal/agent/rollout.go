package agent

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	rolloutRetryInterval = 300 * time.Millisecond
	drainPollInterval    = 20 * time.Millisecond
	// loadTimeout bounds the wait for the engine's response to an order to load.
	loadTimeout = 5 * time.Minute
)

// rolloutTarget is the weight set that the newest ticket assigns to the
// endpoint's pool.
type rolloutTarget struct {
	set          weights.Digest
	ticketNumber int64
	pool         ticket.Pool
}

// currentTarget returns the weight set that the endpoint should serve. It
// reports false if no ticket assigns one.
func (a *Agent) currentTarget() (rolloutTarget, bool) {
	snapshot := a.base.State.Snapshot()
	pool, ok := snapshot.Pool(a.Settings.Endpoint.Pool)
	if !ok || pool.Kind != ticket.ModelPool {
		return rolloutTarget{}, false
	}
	set, err := weights.ParseDigest(pool.Manifest)
	return rolloutTarget{set: set, ticketNumber: snapshot.PoolTicketNumber(pool.Name), pool: pool}, err == nil
}

// runRollouts rolls out each new target to the engine until ctx is done.
func (a *Agent) runRollouts(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.base.State.Changed()
		target, ok := a.currentTarget()
		served, _, accepting := a.served.current()
		if !ok || (served == target.set && accepting) {
			waitForChange(ctx, changed, time.Second)
			continue
		}
		rolloutCtx, cancel := context.WithCancel(ctx)
		group := concurrency.NewGroup(rolloutCtx)
		group.Go(func(ctx context.Context) { a.cancelWhenSuperseded(ctx, target, cancel) })
		start := time.Now()
		if a.runRollout(rolloutCtx, target) {
			a.base.Metrics.ObserveRollout(time.Since(start))
		}
		cancel()
		group.Wait()
	}
}

func waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// cancelWhenSuperseded cancels the rollout when a newer ticket replaces the
// target.
func (a *Agent) cancelWhenSuperseded(ctx context.Context, target rolloutTarget, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		changed := a.base.State.Changed()
		if current, ok := a.currentTarget(); !ok || current.set != target.set {
			a.Log.Emit(event.RolloutAbandoned, event.Fields{"set": target.set.String()})
			cancel()
			return
		}
		waitForChange(ctx, changed, time.Minute)
	}
}

// runRollout fetches the target set, waits for its turn to swap, drains the
// engine and orders it to load the set. It reports whether the engine serves the
// set.
func (a *Agent) runRollout(ctx context.Context, target rolloutTarget) bool {
	a.Log.Emit(event.RolloutStarted, event.Fields{"set": target.set.String(), "version": target.pool.Version, "ticket": target.ticketNumber})
	verified, ok := a.fetchVerifiedSet(ctx, target)
	if !ok {
		return false
	}
	a.Log.Emit(event.SetComplete, event.Fields{"set": target.set.String(), "bytes": verified.Bytes()})
	if !a.waitForSwapTurn(ctx, target) || !a.drainEngine(ctx) || !a.confirmTarget(ctx, target) {
		a.resumeAdmission()
		return false
	}
	return a.loadTarget(ctx, target, verified)
}

// fetchVerifiedSet returns the verified set from memory, from other instances
// or from the origin. It retries until ctx is done.
func (a *Agent) fetchVerifiedSet(ctx context.Context, target rolloutTarget) (*weights.VerifiedSet, bool) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		verified, err := a.tryFetchVerifiedSet(ctx, target, attempt)
		if err == nil {
			return verified, true
		}
		if errors.Is(err, weights.ErrTooLarge) {
			a.Log.Emit(event.ChunkMemoryTooSmall, event.Fields{"error": err.Error()})
		} else if ctx.Err() == nil && attempt > 0 {
			a.Log.Emit(failureEvent(err), event.Fields{"set": target.set.String(), "error": err.Error()})
		}
		concurrency.Sleep(ctx, rolloutRetryInterval)
	}
	return nil, false
}

// errNoManifest marks errors of fetching a manifest.
var errNoManifest = errors.New("manifest unavailable")

// failureEvent returns the event that describes a failure of tryFetchVerifiedSet.
func failureEvent(err error) event.Event {
	if errors.Is(err, errNoManifest) {
		return event.ManifestFailed
	}
	return event.FetchFailed
}

func (a *Agent) tryFetchVerifiedSet(ctx context.Context, target rolloutTarget, attempt int) (*weights.VerifiedSet, error) {
	members := a.base.Membership.View().Pool(target.pool.Name)
	manifest, pinned := a.store.Pinned(target.set)
	if !pinned {
		var err error
		if manifest, err = a.fetchManifest(ctx, target.set, members, attempt); err != nil {
			return nil, errors.Mark(err, errNoManifest)
		}
		if err := a.pin(manifest); err != nil {
			return nil, err
		}
	}
	if err := a.fetcher.Fetch(ctx, manifest, members); err != nil {
		return nil, err
	}
	a.base.Metrics.SetChunkMemory(int64(a.store.Used()))
	return a.store.Verified(target.set)
}

// pin pins the target's chunks before it unpins abandoned sets, so that shared
// chunks are kept. If the store has no room for both, it unpins the abandoned
// sets first.
func (a *Agent) pin(manifest *weights.Manifest) error {
	if err := a.store.Pin(manifest); err == nil {
		a.unpinExcept(manifest.Digest())
		return nil
	}
	a.unpinExcept(manifest.Digest())
	return a.store.Pin(manifest)
}

// unpinExcept unpins every set except the served set and the target.
func (a *Agent) unpinExcept(target weights.Digest) {
	served, _, _ := a.served.current()
	for _, pinned := range a.store.PinnedSets() {
		if pinned != served && pinned != target {
			a.store.Unpin(pinned)
		}
	}
}

// drainEngine suspends admission and waits until no request is in flight. It has
// no timeout, since a swap must not interrupt any request.
func (a *Agent) drainEngine(ctx context.Context) bool {
	for a.served.suspend() > 0 {
		if !concurrency.Sleep(ctx, drainPollInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// confirmTarget waits until the configuration is fresh and reports whether the
// target is still current. After a pause or a network partition, a newer ticket
// may have replaced it.
func (a *Agent) confirmTarget(ctx context.Context, target rolloutTarget) bool {
	for a.base.Relay.FreshnessStatus() == freshness.Stale {
		if !concurrency.Sleep(ctx, drainPollInterval) {
			return false
		}
	}
	current, ok := a.currentTarget()
	return ok && current.set == target.set && ctx.Err() == nil
}

// resumeAdmission admits requests again after an abandoned swap.
func (a *Agent) resumeAdmission() { a.served.resume() }

// loadTarget orders the engine to load the verified set. The ticket's number is
// the fencing token.
func (a *Agent) loadTarget(ctx context.Context, target rolloutTarget, verified *weights.VerifiedSet) bool {
	a.Log.Emit(event.LoadOrdered, event.Fields{"set": target.set.String(), "fence": target.ticketNumber})
	a.served.replace(weights.Digest{}, 0)
	a.gate.ResetToCold()
	if err := a.sendLoadOrder(ctx, target, verified); err != nil {
		a.Log.Emit(event.LoadFailed, event.Fields{"set": target.set.String(), "error": err.Error()})
		concurrency.Sleep(ctx, rolloutRetryInterval)
		return false
	}
	a.served.replace(target.set, target.ticketNumber)
	a.unpinExcept(target.set)
	a.base.Metrics.SetChunkMemory(int64(a.store.Used()))
	a.Log.Emit(event.LoadCompleted, event.Fields{"set": target.set.String(), "version": target.pool.Version})
	return true
}

// joinParts returns the parts of a verified set in one buffer for the engine.
func joinParts(verified *weights.VerifiedSet) (*bytes.Buffer, error) {
	buffer := bytes.NewBuffer(make([]byte, 0, verified.Bytes()))
	_, err := verified.WriteTo(buffer)
	return buffer, err
}

// poolMembers returns the live agents of the endpoint's pool.
func (a *Agent) poolMembers() []membership.Instance {
	return a.base.Membership.View().Pool(a.Settings.Endpoint.Pool)
}
