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
	// maxPending bounds the claims that wait for one range, and the updates in
	// one write, so that a head stays below the object API's value size.
	maxPending = 256
	// maxUpdates bounds the updates that wait for one range.
	maxUpdates = 8 * maxPending
)

// writeQueue is the work on one range.
type writeQueue struct {
	index   int
	writing concurrency.Semaphore
	limiter *rate.Limiter

	mu      sync.Mutex
	claims  []*pendingClaim
	updates []Update

	// The fields below are guarded by writing.

	// head is the journal as stored with version; nil means not read yet.
	head     *journal
	version  int64
	segments *segmentIndex
}

type pendingClaim struct {
	claim    Claim
	decision Decision
	done     bool
}

func newWriteQueue(index int, objects *platformclient.ObjectAPI) *writeQueue {
	return &writeQueue{
		index:    index,
		limiter:  rate.NewLimiter(writesPerSecond, writesPerSecond),
		segments: &segmentIndex{objects: objects, index: index, keys: map[int64][]keyHash{}},
	}
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

// addUpdates keeps updates for a later write. Beyond the bound the newest are
// lost, and repeated calls of their keys are answered "outcome unknown".
func (q *writeQueue) addUpdates(updates ...Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	room := max(0, maxUpdates-len(q.updates))
	q.updates = append(q.updates, updates[:min(room, len(updates))]...)
}

func (q *writeQueue) hasUpdates() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.updates) > 0
}

// take returns what the next write takes along.
func (q *writeQueue) take() ([]*pendingClaim, []Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	claims := q.claims
	count := min(maxPending, len(q.updates))
	updates := q.updates[:count:count]
	q.claims, q.updates = nil, q.updates[count:]
	return claims, updates
}

// load reads the head and the segments that are not known yet.
func (q *writeQueue) load(ctx context.Context, objects *platformclient.ObjectAPI) error {
	if q.head != nil {
		return nil
	}
	head := &journal{Entries: map[keyHash]Entry{}}
	object, err := objects.Get(ctx, headKey(q.index))
	if err != nil && !errors.Is(err, platformclient.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(object.Value, head); err != nil {
			return errors.Wrapf(err, "decode %s", headKey(q.index))
		}
	}
	if err := q.segments.refresh(ctx, head.Segments); err != nil {
		return err
	}
	q.version, q.head = object.Version, head
	return nil
}
