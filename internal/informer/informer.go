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
	// Watch returns the changes after a revision. It blocks until there is a change.
	Watch func(ctx context.Context, kind string, after int64) (Batch, error)
	// Reads reports whether this process reads the object API. If not, the copy changes
	// only through AdoptSnapshot. A nil Reads means true.
	Reads func() bool
	// OnChange is called after each change of the copy. Calls do not overlap.
	OnChange func(Snapshot)
	// OnAvailability is called when the object API becomes available or unavailable.
	OnAvailability func(available bool, err error)
	// OnRestored is called when the store has returned from an older copy of itself. revision is
	// the store's, copyRevision that of the local copy.
	OnRestored func(era, revision, copyRevision int64)

	mu       sync.Mutex
	objects  map[string]Object
	revision int64
	// era is the store's newest known era, if eraKnown.
	era      int64
	eraKnown bool
	// synced is true once there is a copy, relist while another list is required.
	synced bool
	relist bool
	// notifyMu serializes calls to OnChange.
	notifyMu sync.Mutex

	unavailableSince time.Time
	availableSince   time.Time
}

// Snapshot is a copy of all objects of a kind at a revision.
type Snapshot struct {
	Revision int64
	Objects  map[string]Object
}

// Snapshot returns the copy and reports whether it exists, which it does from the first
// list or adopted snapshot on.
func (i *Informer) Snapshot() (Snapshot, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return Snapshot{Revision: i.revision, Objects: maps.Clone(i.objects)}, i.synced
}

// Revision returns the revision of the copy, or 0 if there is none.
func (i *Informer) Revision() int64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.revision
}

// Availability returns the time since which the object API has been unavailable to
// this informer, or zero if it is available, and the time of its last recovery.
func (i *Informer) Availability() (unavailableSince, availableSince time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.unavailableSince, i.availableSince
}

// Passive reports whether the informer does not read the object API.
func (i *Informer) Passive() bool { return i.Reads != nil && !i.Reads() }

// AdoptSnapshot replaces the copy by a newer one from a peer and reports whether any
// object changed. A snapshot that is not newer is ignored.
func (i *Informer) AdoptSnapshot(snapshot Snapshot) bool {
	i.mu.Lock()
	if snapshot.Revision <= i.revision {
		i.mu.Unlock()
		return false
	}
	changed := !maps.EqualFunc(i.objects, snapshot.Objects, func(a, b Object) bool { return a.Revision == b.Revision })
	i.objects, i.revision, i.synced = maps.Clone(snapshot.Objects), snapshot.Revision, true
	i.mu.Unlock()
	if changed {
		i.notifyChange()
	}
	return changed
}

// Run keeps the copy synchronized until ctx is done.
func (i *Informer) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if i.Passive() {
			concurrency.Tick(ctx, passiveInterval)
			continue
		}
		err := i.syncOnce(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrExpired):
			i.requestRelist()
			continue
		case err == nil:
			backoff = minBackoff
			continue
		}
		i.recordUnavailable(err)
		// A broken watch may have missed changes, and the next watch may miss them too.
		i.requestRelist()
		concurrency.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// syncOnce lists the kind if there is no copy to continue from or a relist is
// required. Otherwise it waits for one batch of changes and applies it.
func (i *Informer) syncOnce(ctx context.Context) error {
	i.mu.Lock()
	revision, canWatch := i.revision, i.synced && !i.relist
	i.mu.Unlock()
	if !canWatch {
		return i.list(ctx)
	}
	batch, err := i.Watch(ctx, i.Kind, revision)
	if err != nil {
		return err
	}
	i.recordAvailable()
	i.recordEra(batch.Era, batch.Revision)
	if i.apply(batch) {
		concurrency.Sleep(ctx, i.CoalesceDelay)
	}
	return nil
}

// requestRelist makes the next syncOnce list the kind again. The copy stays in use
// until then, and a list that is older than the copy is ignored.
func (i *Informer) requestRelist() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.relist = true
}

func (i *Informer) list(ctx context.Context) error {
	objects := map[string]Object{}
	revision, era, after := int64(0), int64(0), ""
	for {
		page, err := i.List(ctx, i.Kind, after)
		if err != nil {
			return err
		}
		for _, object := range page.Objects {
			objects[object.Name] = object
			after = object.Name
		}
		// Watching from the revision of the first page covers changes made between
		// pages.
		if revision == 0 {
			revision, era = page.Revision, page.Era
		}
		if !page.HasMore || len(page.Objects) == 0 {
			break
		}
	}
	i.recordAvailable()
	i.recordEra(era, revision)
	i.mu.Lock()
	// A snapshot adopted from a peer in the meantime may be newer.
	newer := revision >= i.revision
	if newer {
		i.objects, i.revision = objects, revision
	}
	i.synced, i.relist = true, false
	i.mu.Unlock()
	if newer {
		i.notifyChange()
	}
	return nil
}

// apply merges a batch into the copy and reports whether the copy changed. The batch may
// begin before the revision of the copy if a snapshot was adopted during the watch.
func (i *Informer) apply(batch Batch) bool {
	i.mu.Lock()
	if batch.Revision < i.revision {
		i.mu.Unlock()
		return false
	}
	objects := maps.Clone(i.objects)
	changed := false
	for _, change := range batch.Changes {
		existing, exists := objects[change.Object.Name]
		switch {
		case exists && existing.Revision > change.Object.Revision:
			continue
		case !exists && !change.Deleted && change.Object.Revision <= i.revision:
			// The object was deleted before the copy was made.
			continue
		case change.Deleted && exists:
			delete(objects, change.Object.Name)
		case change.Deleted:
			continue
		default:
			objects[change.Object.Name] = change.Object
		}
		changed = true
	}
	i.objects = objects
	i.revision = max(i.revision, batch.Revision)
	i.mu.Unlock()
	if changed {
		i.notifyChange()
	}
	return changed
}

// recordEra records the era of a response and reports a new one.
func (i *Informer) recordEra(era, revision int64) {
	i.mu.Lock()
	restored := i.eraKnown && era > i.era
	i.era, i.eraKnown = max(i.era, era), true
	copyRevision := i.revision
	i.mu.Unlock()
	if restored && i.OnRestored != nil {
		i.OnRestored(era, revision, copyRevision)
	}
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
	wasUnavailable := !i.unavailableSince.IsZero()
	if wasUnavailable {
		i.unavailableSince = time.Time{}
		i.availableSince = time.Now()
	}
	i.mu.Unlock()
	if wasUnavailable && i.OnAvailability != nil {
		i.OnAvailability(true, nil)
	}
}
