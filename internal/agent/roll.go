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
	rollPause    = 300 * time.Millisecond
	drainPoll    = 20 * time.Millisecond
	orderTimeout = 5 * time.Minute
)

// wanted is what the newest ticket wants the engine to serve.
type wanted struct {
	set    weights.Digest
	number int64
	pool   ticket.Pool
}

// want returns what the endpoint should serve, and false if no ticket says so.
func (a *Agent) want() (wanted, bool) {
	snapshot := a.base.State.Snapshot()
	pool, found := snapshot.Pool(a.Settings.Endpoint.Pool)
	if !found || pool.Kind != ticket.ModelPool {
		return wanted{}, false
	}
	set, err := weights.ParseDigest(pool.Manifest)
	return wanted{set: set, number: snapshot.PoolTicketNumber(pool.Name), pool: pool}, err == nil
}

// roll brings the engine to the wanted set again and again, until ctx ends.
func (a *Agent) roll(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.base.State.Changed()
		goal, found := a.want()
		served, _, open := a.serving.current()
		if !found || (served == goal.set && open) {
			wait(ctx, changed, time.Second)
			continue
		}
		attempt, cancel := context.WithCancel(ctx)
		group := concurrency.NewGroup(attempt)
		group.Go(func(ctx context.Context) { a.cancelWhenReplaced(ctx, goal, cancel) })
		start := time.Now()
		if a.rollOnce(attempt, goal) {
			a.base.Meter.Rollout(time.Since(start))
		}
		cancel()
		group.Wait()
	}
}

func wait(ctx context.Context, changed <-chan struct{}, longest time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
	}
}

// cancelWhenReplaced ends the work for a goal that a newer ticket replaced.
func (a *Agent) cancelWhenReplaced(ctx context.Context, goal wanted, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		changed := a.base.State.Changed()
		if now, found := a.want(); !found || now.set != goal.set {
			a.Log.Emit(event.RolloutAbandoned, event.Fields{"set": goal.set.String()})
			cancel()
			return
		}
		wait(ctx, changed, time.Minute)
	}
}

// rollOnce fetches the wanted set, waits for its turn, drains the engine and
// orders it to load. It reports whether the engine serves the set.
func (a *Agent) rollOnce(ctx context.Context, goal wanted) bool {
	a.Log.Emit(event.RolloutStarted, event.Fields{"set": goal.set.String(), "version": goal.pool.Version, "ticket": goal.number})
	verified, ok := a.obtain(ctx, goal)
	if !ok {
		return false
	}
	a.Log.Emit(event.SetComplete, event.Fields{"set": goal.set.String(), "bytes": verified.Bytes()})
	if !a.awaitTurn(ctx, goal) || !a.emptyEngine(ctx) || !a.confirm(ctx, goal) {
		a.reopen()
		return false
	}
	return a.load(ctx, goal, verified)
}

// obtain returns the verified set, from memory or from other instances.
func (a *Agent) obtain(ctx context.Context, goal wanted) (*weights.VerifiedSet, bool) {
	for try := 0; ctx.Err() == nil; try++ {
		verified, err := a.obtainOnce(ctx, goal, try)
		if err == nil {
			return verified, true
		}
		if errors.Is(err, weights.ErrTooLarge) {
			a.Log.Emit(event.MemoryTooSmall, event.Fields{"error": err.Error()})
		} else if ctx.Err() == nil && try > 0 {
			a.Log.Emit(event.ManifestFailed, event.Fields{"set": goal.set.String(), "error": err.Error()})
		}
		concurrency.Sleep(ctx, rollPause)
	}
	return nil, false
}

func (a *Agent) obtainOnce(ctx context.Context, goal wanted, try int) (*weights.VerifiedSet, error) {
	members := a.base.Roster.View().Pool(goal.pool.Name)
	manifest, pinned := a.store.Pinned(goal.set)
	if !pinned {
		var err error
		if manifest, err = a.fetchManifest(ctx, goal.set, members, try); err != nil {
			return nil, err
		}
		if err := a.pin(manifest); err != nil {
			return nil, err
		}
	}
	if err := a.fetcher.Fetch(ctx, manifest, members); err != nil {
		return nil, err
	}
	a.base.Meter.Chunks(int64(a.store.Used()))
	return a.store.Verified(goal.set)
}

// pin makes the goal's chunks wanted before it drops abandoned sets, so that
// chunks they share are kept. If both do not fit, the abandoned sets go first.
func (a *Agent) pin(manifest *weights.Manifest) error {
	if err := a.store.Pin(manifest); err == nil {
		a.unpinExcept(manifest.Digest())
		return nil
	}
	a.unpinExcept(manifest.Digest())
	return a.store.Pin(manifest)
}

// unpinExcept drops every set but the one served now and the goal.
func (a *Agent) unpinExcept(goal weights.Digest) {
	served, _, _ := a.serving.current()
	for _, held := range a.store.PinnedSets() {
		if held != served && held != goal {
			a.store.Unpin(held)
		}
	}
}

// emptyEngine keeps new requests away and waits until none is in flight. It
// waits as long as it takes, since a swap must cut no request.
func (a *Agent) emptyEngine(ctx context.Context) bool {
	for a.serving.close() > 0 {
		if !concurrency.Sleep(ctx, drainPoll) {
			return false
		}
	}
	return ctx.Err() == nil
}

// confirm waits until the configuration is fresh and reports whether it still
// wants the goal. After a pause or an isolation, a newer ticket may have replaced
// it.
func (a *Agent) confirm(ctx context.Context, goal wanted) bool {
	for a.base.Relay.FreshnessStatus() == freshness.Stale {
		if !concurrency.Sleep(ctx, drainPoll) {
			return false
		}
	}
	now, found := a.want()
	return found && now.set == goal.set && ctx.Err() == nil
}

// reopen lets requests in again after a swap was abandoned.
func (a *Agent) reopen() {
	set, number, _ := a.serving.current()
	a.serving.change(set, number)
}

// load orders the engine to load the verified set, with the ticket's number as
// fencing number.
func (a *Agent) load(ctx context.Context, goal wanted, verified *weights.VerifiedSet) bool {
	a.Log.Emit(event.LoadOrdered, event.Fields{"set": goal.set.String(), "fence": goal.number})
	a.serving.change(weights.Digest{}, 0)
	a.gate.ResetToCold()
	if err := a.orderLoad(ctx, goal, verified); err != nil {
		a.Log.Emit(event.LoadFailed, event.Fields{"set": goal.set.String(), "error": err.Error()})
		concurrency.Sleep(ctx, rollPause)
		return false
	}
	a.serving.change(goal.set, goal.number)
	a.unpinExcept(goal.set)
	a.base.Meter.Chunks(int64(a.store.Used()))
	a.Log.Emit(event.LoadDone, event.Fields{"set": goal.set.String(), "version": goal.pool.Version})
	return true
}

// buffer joins the parts of a verified set for the engine.
func buffer(verified *weights.VerifiedSet) (*bytes.Buffer, error) {
	joined := bytes.NewBuffer(make([]byte, 0, verified.Bytes()))
	_, err := verified.WriteTo(joined)
	return joined, err
}

// members returns the live agents of the endpoint's pool.
func (a *Agent) members() []membership.Instance {
	return a.base.Roster.View().Pool(a.Settings.Endpoint.Pool)
}
