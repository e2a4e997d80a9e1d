// Package informer keeps a local copy of all objects of one kind synchronized with
// the object API, by a list followed by watches. It decides when to list, watch and
// wait; it does not interpret the objects.
package informer

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

const (
	// minBackoff and maxBackoff bound the backoff after a failed call, before jitter.
	// The longest backoff is well below the time within which the recovery of the
	// object store must be detected.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// passiveInterval is how often an informer that does not read checks whether it must.
	passiveInterval = 100 * time.Millisecond
)

// Informer keeps a copy of the objects of one kind. Set the exported fields before
// calling Run; the methods are safe for concurrent use.
type Informer struct {
	Kind string
	// CoalesceDelay is the pause between a watch response with changes and the next
	// watch, so that changes in quick succession share a call.
	CoalesceDelay time.Duration
	// List returns a page of the objects whose names sort after the given name.
	List func(ctx context.Context, kind, after string) (Page, error)
	// Watch returns the changes after a revision. It blocks until there is a change, or returns
	// none after the wait.
	Watch func(ctx context.Context, kind string, after int64, wait time.Duration) (Batch, error)
	// Reads reports whether this process reads the object API. If not, the copy changes
	// only through AdoptSnapshot. A nil Reads means true.
	Reads func() bool
	// Verifies reports whether this process verifies, for a group that exchanges its copies, that
	// the object API answers watches. A nil Verifies means true.
	Verifies func() bool
	// Ledger relates the watches of the informers of this process. A nil Ledger means that each
	// verifies its own.
	Ledger *Ledger
	// Sequence returns the order of an object's content among its states, and false if it has
	// none. A nil Sequence means that no object has one.
	Sequence func(Object) (Sequence, bool)
	// MaxValueBytes is the size above which values and statuses are left out of the copy, which
	// has to fit into a call; 0 means no limit.
	MaxValueBytes int
	// RetainTime is how long objects stay in the copy that the store lost when it returned from
	// an older copy of itself, because their writers write them again.
	RetainTime time.Duration
	// OnChange is called after each change of the copy. Calls do not overlap.
	OnChange func(Snapshot)
	// OnAvailability is called when the object API becomes available or unavailable.
	OnAvailability func(available bool, err error)
	// OnRestored is called when the store has returned from an older copy of itself, with the
	// positions of the store and of the local copy.
	OnRestored func(store, local Position)

	mu sync.Mutex
	// objects are the objects of the copy. Those of an earlier era than position are retained.
	objects  map[string]Object
	position Position
	// retainUntil holds the names of the objects that the store lost and the times until which
	// they are retained. tombstones holds the objects that were deleted, by name.
	retainUntil map[string]time.Time
	tombstones  map[string]tombstone
	// synced is true once there is a copy, relist while another list is required.
	synced bool
	relist bool
	// notifyMu serializes calls to OnChange.
	notifyMu sync.Mutex

	unavailableSince time.Time
	availableSince   time.Time
	// answeredAt is the time of the last response of the object API, zero before the first.
	answeredAt time.Time
	newer      newerCopy
}

// Snapshot is a copy of all objects of a kind at a position.
type Snapshot struct {
	Era      int64
	Revision int64
	Objects  map[string]Object
}

// Position returns the position of the copy.
func (s *Snapshot) Position() Position { return Position{Era: s.Era, Revision: s.Revision} }

// Snapshot returns the copy and reports whether it exists, which it does from the first
// list or adopted snapshot on.
func (i *Informer) Snapshot() (Snapshot, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Snapshot{Era: i.position.Era, Revision: i.position.Revision, Objects: maps.Clone(i.objects)}, i.synced
}

// Revision returns the revision of the copy, or 0 if there is none.
func (i *Informer) Revision() int64 { return i.Position().Revision }

// Position returns the position of the copy, or zero if there is none.
func (i *Informer) Position() Position {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.position
}

// Availability returns the time since which the object API has been unavailable to
// this informer, or zero if it is available, and the time of its last recovery.
func (i *Informer) Availability() (unavailableSince, availableSince time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.unavailableSince, i.availableSince
}

// AnsweredAt returns the time of the object API's last response, or zero before the first. A
// pending watch may be waiting for a change since then, or its request was lost.
func (i *Informer) AnsweredAt() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.answeredAt
}

// Passive reports whether the informer does not read the object API.
func (i *Informer) Passive() bool { return i.Reads != nil && !i.Reads() }

// AdoptSnapshot replaces the copy by a newer one from a peer and reports whether any
// object changed or it is the first copy. A snapshot that is not newer is ignored.
func (i *Informer) AdoptSnapshot(snapshot Snapshot) bool { return i.adopt(snapshot, nil) }

// adopt replaces the copy by a newer one from a peer and the objects that the peer retains.
func (i *Informer) adopt(snapshot Snapshot, retained []Retained) bool {
	i.mu.Lock()
	position, now := snapshot.Position(), time.Now()
	if !position.After(i.position) {
		i.mu.Unlock()
		return false
	}
	objects := i.merge(snapshot.Objects, position, now)
	i.adoptRetained(objects, position, retained, now)
	// That a kind has no objects is also news.
	changed := !i.synced || !maps.EqualFunc(i.objects, objects, func(a, b Object) bool { return a.Revision == b.Revision && a.Era == b.Era })
	i.objects, i.position, i.synced = objects, position, true
	i.mu.Unlock()
	if changed {
		i.notifyChange()
	}
	return changed
}

// Run keeps the copy synchronized until ctx is done.
func (i *Informer) Run(ctx context.Context) {
	calls := concurrency.NewGroup(ctx)
	defer calls.Wait()
	backoff, expired := minBackoff, false
	for ctx.Err() == nil {
		if i.Passive() {
			concurrency.Tick(ctx, passiveInterval)
			continue
		}
		watches, begun := i.canWatch(), time.Now()
		err := i.syncOnce(ctx, calls)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errAbandoned):
			continue
		case errors.Is(err, ErrExpired) && !expired:
			expired = true
			i.requestRelist()
			continue
		case err == nil:
			backoff, expired = minBackoff, expired && !watches
			continue
		}
		i.recordUnavailable(err)
		i.Ledger.fail(i.Kind)
		// A broken watch may have missed changes, and the next watch may miss them too.
		i.requestRelist()
		concurrency.Sleep(ctx, backoff/2+rand.N(backoff)-time.Since(begun))
		backoff = min(2*backoff, maxBackoff)
	}
}

// syncOnce lists the kind if there is no copy to continue from or a relist is
// required. Otherwise it waits for one batch of changes and applies it.
func (i *Informer) syncOnce(ctx context.Context, calls *concurrency.Group) error {
	if !i.canWatch() {
		return i.list(ctx, calls)
	}
	from := i.Position()
	batch, err := i.watch(ctx, calls, from)
	if err != nil {
		return err
	}
	i.recordAvailable()
	i.recordBatch(batch)
	if batch.Era != from.Era {
		// The revision from which the watch began is another one in this era.
		return ErrExpired
	}
	if i.apply(batch) {
		concurrency.Sleep(ctx, i.CoalesceDelay)
	}
	return nil
}

// recordBatch records the response to a watch in the ledger.
func (i *Informer) recordBatch(batch Batch) {
	revisions := make([]int64, 0, len(batch.Changes))
	for _, change := range batch.Changes {
		revisions = append(revisions, change.Object.Revision)
	}
	i.Ledger.record(i.Kind, Position{Era: batch.Era, Revision: batch.Revision}, revisions)
}

// recordList records the response to a list in the ledger.
func (i *Informer) recordList(position Position, objects map[string]Object) {
	revisions := make([]int64, 0, len(objects))
	for _, object := range objects {
		revisions = append(revisions, object.Revision)
	}
	i.Ledger.record(i.Kind, position, revisions)
}

// requestRelist makes the next syncOnce list the kind again. The copy stays in use
// until then, and a list that is older than the copy is ignored.
func (i *Informer) requestRelist() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.relist = true
}

// canWatch reports whether there is a copy from which a watch can continue.
func (i *Informer) canWatch() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.synced && !i.relist
}

func (i *Informer) list(ctx context.Context, calls *concurrency.Group) error {
	objects := map[string]Object{}
	position, after := Position{}, ""
	for {
		page, err := i.listPage(ctx, calls, after)
		if err != nil {
			return err
		}
		last := after
		for _, object := range page.Objects {
			objects[object.Name] = i.limited(object)
			if object.Name != "" {
				last = object.Name
			}
		}
		// Watching from the revision of the first page covers changes made between
		// pages.
		if position.IsZero() {
			position = page.Position()
		}
		if page.Era != position.Era {
			return ErrExpired
		}
		if !page.HasMore || len(page.Objects) == 0 {
			break
		}
		if last == after {
			return errors.Mark(errors.Newf("no object of the page after %q has another name", after), ErrUnavailable)
		}
		after = last
	}
	i.recordAvailable()
	i.recordList(position, objects)
	i.mu.Lock()
	local, restored := i.position, i.synced && position.Era > i.position.Era
	// A snapshot adopted from a peer in the meantime may be newer.
	newer := position.Compare(local) >= 0
	if newer {
		i.objects, i.position = i.merge(objects, position, time.Now()), position
	}
	i.synced, i.relist = true, false
	i.mu.Unlock()
	if restored && i.OnRestored != nil {
		i.OnRestored(position, local)
	}
	if newer {
		i.notifyChange()
	}
	return nil
}

// apply merges a batch into the copy and reports whether the copy changed. The batch may
// begin before the revision of the copy if a snapshot was adopted during the watch. After a
// batch without changes, the next watch begins at the same revision: what this one should have
// reported and did not is then reported, as long as the store has it.
func (i *Informer) apply(batch Batch) bool {
	i.mu.Lock()
	if i.position.After(Position{Era: batch.Era, Revision: batch.Revision}) || len(batch.Changes) == 0 {
		i.mu.Unlock()
		return false
	}
	now := time.Now()
	objects := maps.Clone(i.objects)
	changed := false
	for _, change := range batch.Changes {
		existing, exists := objects[change.Object.Name]
		switch {
		case exists && existing.Era == batch.Era && existing.Revision > change.Object.Revision:
			continue
		case exists && existing.Era < batch.Era && !change.Deleted && i.older(change.Object, existing):
			// The writer has not yet written again what the store lost.
			continue
		case !exists && !change.Deleted && change.Object.Revision <= i.position.Revision:
			// The object was deleted before the copy was made.
			continue
		case !change.Deleted && i.deleted(change.Object):
			continue
		case change.Deleted && exists:
			i.bury(existing, batch.Era, now)
			delete(objects, change.Object.Name)
		case change.Deleted:
			i.bury(change.Object, batch.Era, now)
			continue
		default:
			objects[change.Object.Name] = i.limited(change.Object)
			delete(i.retainUntil, change.Object.Name)
			delete(i.tombstones, change.Object.Name)
		}
		changed = true
	}
	i.objects = objects
	i.position.Revision = max(i.position.Revision, batch.Revision)
	i.mu.Unlock()
	if changed {
		i.notifyChange()
	}
	return changed
}

func (i *Informer) notifyChange() {
	i.notifyMu.Lock()
	defer i.notifyMu.Unlock()
	snapshot, _ := i.Snapshot()
	i.OnChange(snapshot)
}

func (i *Informer) recordUnavailable(err error) {
	i.mu.Lock()
	wasAvailable := i.unavailableSince.IsZero()
	if wasAvailable {
		i.unavailableSince = time.Now()
	}
	i.mu.Unlock()
	if wasAvailable && i.OnAvailability != nil {
		i.OnAvailability(false, err)
	}
}

func (i *Informer) recordAvailable() {
	i.mu.Lock()
	i.answeredAt = time.Now()
	wasUnavailable := !i.unavailableSince.IsZero()
	if wasUnavailable {
		i.unavailableSince = time.Time{}
		i.availableSince = i.answeredAt
	}
	i.mu.Unlock()
	if wasUnavailable && i.OnAvailability != nil {
		i.OnAvailability(true, nil)
	}
}
