package idempotency

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/platformclient"
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
)

// Writer stores the claims of the ranges that this process owns. All claims of
// a range that arrive during one write go into the next one. Set the exported
// field before the first call; the methods are safe for concurrent use.
type Writer struct {
	Objects *platformclient.ObjectAPI

	mu     sync.Mutex
	ranges map[int]*writeQueue
}

// Run writes updates that no claim has taken along, until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
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
		held = newWriteQueue(index, w.Objects)
		w.ranges[index] = held
	}
	return held
}

// Claim stores the claim and returns the decision. The verdict is Unavailable
// if the object API did not confirm it. The claim may be stored all the same,
// and another process may have let the attempt run, so only the attempt itself
// can release it.
func (w *Writer) Claim(ctx context.Context, claim Claim) Decision {
	queue := w.queue(RangeOf(claim.Key))
	pending := &pendingClaim{claim: claim, decision: Decision{Verdict: Unavailable}}
	if !queue.add(pending) {
		return pending.decision
	}
	if err := queue.writing.Acquire(ctx); err != nil {
		return Decision{Verdict: Unavailable}
	}
	defer queue.writing.Release()
	if !pending.done && queue.limiter.Wait(ctx) == nil {
		w.write(ctx, queue)
	}
	return pending.decision
}

// Update records how an attempt ended. It is stored with the next write of the
// range; if it is lost, repeated calls are answered "outcome unknown".
func (w *Writer) Update(update Update) {
	w.queue(RangeOf(update.Key)).addUpdates(update)
}

func (w *Writer) flushUpdates(ctx context.Context) {
	for index := range Ranges {
		queue := w.queue(index)
		if queue.hasUpdates() && ctx.Err() == nil {
			w.flushRange(ctx, queue)
		}
	}
}

func (w *Writer) flushRange(ctx context.Context, queue *writeQueue) {
	if queue.writing.Acquire(ctx) != nil {
		return
	}
	defer queue.writing.Release()
	if queue.limiter.Wait(ctx) == nil {
		w.write(ctx, queue)
	}
}

// write stores what waits for the range. The caller holds queue.writing.
func (w *Writer) write(ctx context.Context, queue *writeQueue) {
	claims, updates := queue.take()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	err := w.tryWrite(ctx, queue, claims, updates)
	for range maxConflicts - 1 {
		if !errors.Is(err, platformclient.ErrConflict) && !errors.Is(err, platformclient.ErrUnavailable) {
			break
		}
		err = w.tryWrite(ctx, queue, claims, updates)
	}
	if err != nil {
		queue.addUpdates(updates...)
	}
	for _, pending := range claims {
		if err != nil {
			pending.decision = Decision{Verdict: Unavailable}
		}
		pending.done = true
	}
}

// tryWrite decides the batch on the journal as held and stores it. After a
// lost answer the journal is read again, and the attempts recognize their own
// claims in it.
func (w *Writer) tryWrite(ctx context.Context, queue *writeQueue, claims []*pendingClaim, updates []Update) error {
	if err := queue.load(ctx, w.Objects); err != nil {
		return err
	}
	next, err := newBatch(ctx, queue.head, queue.version, queue.segments)
	if err != nil {
		return err
	}
	if err := next.fill(ctx, claims, updates); err != nil {
		return err
	}
	if !next.changed {
		return nil
	}
	version, err := w.Objects.Put(ctx, headKey(queue.index), queue.version, &next.head)
	if err != nil {
		queue.head = nil
		return err
	}
	queue.version, queue.head = version, &next.head
	return nil
}
