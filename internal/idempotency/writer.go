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
	// maxWriteAttempts is the maximum number of attempts at one write when other
	// processes write to the partition or the object API is unavailable.
	maxWriteAttempts = 4
	// flushInterval is the interval at which pending updates are written: the
	// longest time that an update waits for a claim to be written with.
	flushInterval = 500 * time.Millisecond
	// writesPerSecond is the maximum rate of writes to one partition, so that all
	// partitions together use only a part of the object API's rate limit. Claims
	// that arrive between two writes share the next one.
	writesPerSecond = 4
)

// Writer stores the claims of the partitions that this process owns. All claims
// for a partition that arrive during one write are part of the next one. Set the
// exported field before the first call; the methods are safe for concurrent use.
type Writer struct {
	Objects *platformclient.ObjectAPI

	mu     sync.Mutex
	queues map[int]*writeQueue
}

// Run periodically writes the updates that were not written together with a
// claim, until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	group.Every(flushInterval, func(ctx context.Context) { w.flushUpdates(ctx) })
	group.Wait()
}

func (w *Writer) queue(partition int) *writeQueue {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queues == nil {
		w.queues = map[int]*writeQueue{}
	}
	queue := w.queues[partition]
	if queue == nil {
		queue = newWriteQueue(partition, w.Objects)
		w.queues[partition] = queue
	}
	return queue
}

// Claim stores the claim and returns the decision. The verdict is Unavailable if
// the object API does not confirm the write. The claim may be stored nevertheless,
// and another process may have let the attempt run, so only the attempt itself can
// release the claim.
func (w *Writer) Claim(ctx context.Context, claim Claim) Decision {
	queue := w.queue(PartitionOf(claim.Key))
	pending := &pendingClaim{claim: claim, decision: Decision{Verdict: Unavailable}}
	if !queue.enqueueClaim(pending) {
		return pending.decision
	}
	if err := queue.writeLock.Acquire(ctx); err != nil {
		return Decision{Verdict: Unavailable}
	}
	defer queue.writeLock.Release()
	if !pending.decided && queue.limiter.Wait(ctx) == nil {
		w.write(ctx, queue)
	}
	return pending.decision
}

// Update records how an attempt ended. The update is stored with the next write to
// the partition. If it is lost, repeated calls get the outcome "outcome unknown".
func (w *Writer) Update(update Update) {
	w.queue(PartitionOf(update.Key)).enqueueUpdates(update)
}

func (w *Writer) flushUpdates(ctx context.Context) {
	for partition := range PartitionCount {
		queue := w.queue(partition)
		if queue.hasUpdates() && ctx.Err() == nil {
			w.flushQueue(ctx, queue)
		}
	}
}

func (w *Writer) flushQueue(ctx context.Context, queue *writeQueue) {
	if queue.writeLock.Acquire(ctx) != nil {
		return
	}
	defer queue.writeLock.Release()
	if queue.limiter.Wait(ctx) == nil {
		w.write(ctx, queue)
	}
}

// write stores the pending claims and updates of the partition. The caller must
// hold queue.writeLock.
func (w *Writer) write(ctx context.Context, queue *writeQueue) {
	claims, updates := queue.dequeue()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	err := w.tryWrite(ctx, queue, claims, updates)
	for range maxWriteAttempts - 1 {
		if !errors.Is(err, platformclient.ErrConflict) && !errors.Is(err, platformclient.ErrUnavailable) {
			break
		}
		err = w.tryWrite(ctx, queue, claims, updates)
	}
	if err != nil {
		queue.enqueueUpdates(updates...)
	}
	for _, pending := range claims {
		if err != nil {
			pending.decision = Decision{Verdict: Unavailable}
		}
		pending.decided = true
	}
}

// tryWrite decides the claims based on the loaded journal and stores the result.
// If the write is not confirmed, the journal is read again before the next
// attempt, and claims that were stored are recognized by their attempts.
func (w *Writer) tryWrite(ctx context.Context, queue *writeQueue, claims []*pendingClaim, updates []Update) error {
	if err := queue.loadHead(ctx, w.Objects); err != nil {
		return err
	}
	nextBatch, err := newBatch(ctx, queue.head, queue.version, queue.segments)
	if err != nil {
		return err
	}
	if err := nextBatch.process(ctx, claims, updates); err != nil {
		return err
	}
	if !nextBatch.changed {
		return nil
	}
	version, err := w.Objects.Put(ctx, headKey(queue.partition), queue.version, &nextBatch.head)
	if err != nil {
		queue.head = nil
		return err
	}
	queue.version, queue.head = version, &nextBatch.head
	return nil
}
