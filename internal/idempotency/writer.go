package idempotency

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mimosaward/mimosaward/internal/duty"
	"github.com/mimosaward/mimosaward/internal/platform"
)

const (
	storeTimeout = 2 * time.Second
	// maxConflicts bounds the tries against other writers of a range.
	maxConflicts = 4
	// updateInterval is the longest time that an update waits for a claim to
	// be written with.
	updateInterval = 500 * time.Millisecond
	// writesPerSecond bounds the writes of one range, so that all ranges
	// together stay within a part of the object API's rate. Claims that arrive
	// meanwhile share the next write.
	writesPerSecond = 4
	// maxPending bounds the claims that wait for one range.
	maxPending = 256
)

// Writer stores the claims of the ranges that this process owns. All claims of
// a range that arrive during one write go into the next one. Set the exported
// field before the first call; the methods are safe for concurrent use.
type Writer struct {
	Objects *platform.ObjectAPI

	mu     sync.Mutex
	ranges map[int]*writeQueue
}

// writeQueue is the work on one range.
type writeQueue struct {
	writing duty.Turn
	limiter *rate.Limiter

	mu      sync.Mutex
	claims  []*pendingClaim
	updates []Update

	// The fields below are guarded by writing.
	version int64
	held    *journal
}

type pendingClaim struct {
	claim    Claim
	decision Decision
	done     bool
}

// Run writes updates that no claim has taken along, until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	group := duty.NewGroup(ctx)
	group.Every(updateInterval, func(ctx context.Context) { w.flushUpdates(ctx) })
	group.Wait()
}

func (w *Writer) queue(index int) *writeQueue {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ranges == nil {
		w.ranges = map[int]*writeQueue{}
	}
	held := w.ranges[index]
	if held == nil {
		held = &writeQueue{limiter: rate.NewLimiter(writesPerSecond, writesPerSecond)}
		w.ranges[index] = held
	}
	return held
}

// Claim stores the claim and returns the decision. The verdict is Unavailable
// if the object API did not confirm it; the attempt must not run then.
func (w *Writer) Claim(ctx context.Context, claim Claim) Decision {
	queue := w.queue(RangeOf(claim.Key))
	pending := &pendingClaim{claim: claim, decision: Decision{Verdict: Unavailable}}
	if !queue.add(pending) {
		return pending.decision
	}
	if err := queue.writing.Take(ctx); err != nil {
		return Decision{Verdict: Unavailable}
	}
	defer queue.writing.Give()
	if !pending.done && queue.limiter.Wait(ctx) == nil {
		w.write(ctx, RangeOf(claim.Key), queue)
	}
	return pending.decision
}

func (q *writeQueue) add(pending *pendingClaim) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.claims) >= maxPending {
		return false
	}
	q.claims = append(q.claims, pending)
	return true
}

// Update records how an attempt ended. It is stored with the next write of the
// range; if it is lost, repeated calls are answered "outcome unknown".
func (w *Writer) Update(update Update) {
	queue := w.queue(RangeOf(update.Key))
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.updates = append(queue.updates, update)
}

func (w *Writer) flushUpdates(ctx context.Context) {
	for index := range Ranges {
		queue := w.queue(index)
		queue.mu.Lock()
		waiting := len(queue.updates)
		queue.mu.Unlock()
		if waiting > 0 && ctx.Err() == nil {
			w.flushRange(ctx, index, queue)
		}
	}
}

func (w *Writer) flushRange(ctx context.Context, index int, queue *writeQueue) {
	if queue.writing.Take(ctx) != nil {
		return
	}
	defer queue.writing.Give()
	if queue.limiter.Wait(ctx) == nil {
		w.write(ctx, index, queue)
	}
}

// take returns everything that waits for the range.
func (q *writeQueue) take() ([]*pendingClaim, []Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	claims, updates := q.claims, q.updates
	q.claims, q.updates = nil, nil
	return claims, updates
}

// putBack keeps updates for a later write.
func (q *writeQueue) putBack(updates []Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updates = append(updates, q.updates...)
	q.updates = q.updates[max(0, len(q.updates)-maxPending):]
}

// write stores one batch. The caller holds queue.writing.
func (w *Writer) write(ctx context.Context, index int, queue *writeQueue) {
	claims, updates := queue.take()
	defer func() {
		for _, pending := range claims {
			pending.done = true
		}
	}()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	for range maxConflicts {
		stored, err := w.tryWrite(ctx, index, queue, claims, updates)
		if stored {
			return
		}
		queue.held = nil
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable) {
			break
		}
	}
	for _, pending := range claims {
		pending.decision = Decision{Verdict: Unavailable}
	}
	queue.putBack(updates)
}

// tryWrite decides the batch on the journal as held and stores it. After a
// lost answer the journal is read again, and the attempts recognize their own
// claims in it.
func (w *Writer) tryWrite(ctx context.Context, index int, queue *writeQueue, claims []*pendingClaim, updates []Update) (bool, error) {
	if queue.held == nil {
		if err := w.load(ctx, index, queue); err != nil {
			return false, err
		}
	}
	next := &journal{Entries: maps.Clone(queue.held.Entries)}
	changed := len(updates) > 0
	for _, update := range updates {
		next.apply(update)
	}
	for _, pending := range claims {
		decision, claimed := next.decide(pending.claim, time.Now())
		pending.decision = decision
		changed = changed || claimed
	}
	if !changed {
		return true, nil
	}
	version, err := w.Objects.Put(ctx, journalKey(index), queue.version, next)
	if err != nil {
		return false, err
	}
	queue.version, queue.held = version, next
	return true, nil
}

func (w *Writer) load(ctx context.Context, index int, queue *writeQueue) error {
	held := &journal{Entries: map[string]Entry{}}
	object, err := w.Objects.Get(ctx, journalKey(index))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(object.Value, held); err != nil {
			return errors.Wrapf(err, "decode %s", journalKey(index))
		}
	}
	queue.version, queue.held = object.Version, held
	return nil
}
