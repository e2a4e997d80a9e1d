package idempotency

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/platformclient"
)

const (
	// maxPendingClaims is the maximum number of claims queued for one partition
	// and of updates in one write, so that a head stays within the size limit for
	// values in the object API.
	maxPendingClaims = 256
	// maxPendingUpdates is the maximum number of updates queued for one partition.
	maxPendingUpdates = 8 * maxPendingClaims
)

// writeQueue holds the pending claims and updates of one partition and the state
// of its journal.
type writeQueue struct {
	partition int
	writeLock concurrency.Semaphore
	limiter   *rate.Limiter

	mu      sync.Mutex
	claims  []*pendingClaim
	updates []Update

	// The fields below are guarded by writeLock.

	// head is the journal as stored at version. It is nil before the journal is
	// read and after a failed write.
	head     *journal
	version  int64
	segments *segmentIndex
}

type pendingClaim struct {
	claim    Claim
	decision Decision
	decided  bool
}

func newWriteQueue(partition int, objects *platformclient.ObjectAPI) *writeQueue {
	return &writeQueue{
		partition: partition,
		limiter:   rate.NewLimiter(writesPerSecond, writesPerSecond),
		segments:  &segmentIndex{objects: objects, partition: partition, keys: map[int64][]keyHash{}},
	}
}

func (q *writeQueue) enqueueClaim(pending *pendingClaim) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.claims) >= maxPendingClaims {
		return false
	}
	q.claims = append(q.claims, pending)
	return true
}

// enqueueUpdates queues updates for a later write. If the queue is full, the
// newest updates are dropped, and repeated calls with their keys get the outcome
// "outcome unknown".
func (q *writeQueue) enqueueUpdates(updates ...Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	capacity := max(0, maxPendingUpdates-len(q.updates))
	q.updates = append(q.updates, updates[:min(capacity, len(updates))]...)
}

func (q *writeQueue) hasUpdates() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.updates) > 0
}

// dequeue removes and returns the claims and updates for the next write: all
// claims, and at most maxPendingClaims updates.
func (q *writeQueue) dequeue() ([]*pendingClaim, []Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	claims := q.claims
	count := min(maxPendingClaims, len(q.updates))
	updates := q.updates[:count:count]
	q.claims, q.updates = nil, q.updates[count:]
	return claims, updates
}

// loadHead reads the head, unless it is loaded, and the keys of the segments that
// are not in the index yet.
func (q *writeQueue) loadHead(ctx context.Context, objects *platformclient.ObjectAPI) error {
	if q.head != nil {
		return nil
	}
	head := &journal{Entries: map[keyHash]Entry{}}
	object, err := objects.Get(ctx, headKey(q.partition))
	if err != nil && !errors.Is(err, platformclient.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(object.Value, head); err != nil {
			return errors.Wrapf(err, "decode journal head %s", headKey(q.partition))
		}
	}
	if err := q.segments.refresh(ctx, head.Segments); err != nil {
		return err
	}
	q.version, q.head = object.Version, head
	return nil
}
