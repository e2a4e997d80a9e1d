package informer

import (
	"maps"
	"time"
)

// Sequence orders the states of an object by its content, across eras of the store. Start
// distinguishes the starts of its writer, Number the writes of one start.
type Sequence struct {
	Start  int64
	Number int64
}

func (s Sequence) before(other Sequence) bool {
	return s.Start < other.Start || (s.Start == other.Start && s.Number < other.Number)
}

// Retained is an object that the store lost when it returned from an older copy of itself, and
// that stays in the copy until its writer has written it again.
type Retained struct {
	Object Object
	// Remaining is how much longer the object is retained.
	Remaining time.Duration
}

// tombstoneTTL is how long deleted objects are remembered. It exceeds the age of the copies
// from which a store returns.
const tombstoneTTL = 2 * time.Minute

// tombstone is the last state of a deleted object, with the era in which it was deleted.
type tombstone struct {
	object    Object
	era       int64
	deletedAt time.Time
}

// older reports whether the content of an object is older than that of another one.
func (i *Informer) older(a, b Object) bool {
	if i.Sequence == nil {
		return false
	}
	sequenceA, okA := i.Sequence(a)
	sequenceB, okB := i.Sequence(b)
	return okA && okB && sequenceA.before(sequenceB)
}

// merge returns the objects of the copy after an update to all objects of the store at a
// position. Of the objects of earlier eras, it retains those whose content is newer than that
// in the store, and for RetainTime those that the store lost. The caller must hold mu.
func (i *Informer) merge(stored map[string]Object, position Position, now time.Time) map[string]Object {
	merged := maps.Clone(stored)
	if merged == nil {
		merged = map[string]Object{}
	}
	for name, known := range i.objects {
		current, present := stored[name]
		switch {
		case !present && (known.Era >= position.Era || !i.retain(name, now)):
			i.bury(known, position.Era, now)
		case !present:
			merged[name] = known
		case known.Era < position.Era && i.older(current, known):
			merged[name] = known
			delete(i.retainUntil, name)
		default:
			delete(i.retainUntil, name)
		}
	}
	for name, current := range stored {
		switch _, known := i.objects[name]; {
		case known:
		case i.deleted(current):
			delete(merged, name)
		default:
			delete(i.tombstones, name)
		}
	}
	return merged
}

// retain reports whether an object that the store lost is still retained. The caller must hold
// mu.
func (i *Informer) retain(name string, now time.Time) bool {
	until, tracked := i.retainUntil[name]
	if !tracked {
		until = now.Add(i.RetainTime)
		i.retainFor(name, i.RetainTime, now)
	}
	return now.Before(until)
}

// retainFor retains an object for a time. The caller must hold mu.
func (i *Informer) retainFor(name string, remaining time.Duration, now time.Time) {
	if remaining <= 0 {
		return
	}
	if i.retainUntil == nil {
		i.retainUntil = map[string]time.Time{}
	}
	i.retainUntil[name] = now.Add(remaining)
	time.AfterFunc(remaining, i.dropRetained)
}

// dropRetained deletes the objects that were retained for long enough.
func (i *Informer) dropRetained() {
	i.mu.Lock()
	now := time.Now()
	changed := false
	objects := maps.Clone(i.objects)
	for name, until := range i.retainUntil {
		if now.Before(until) {
			continue
		}
		delete(i.retainUntil, name)
		if known, exists := objects[name]; exists && known.Era < i.position.Era {
			i.bury(known, i.position.Era, now)
			delete(objects, name)
			changed = true
		}
	}
	i.objects = objects
	i.mu.Unlock()
	if changed {
		i.notifyChange()
	}
}

// bury remembers a deleted object. The caller must hold mu.
func (i *Informer) bury(deleted Object, era int64, now time.Time) {
	if i.tombstones == nil {
		i.tombstones = map[string]tombstone{}
	}
	maps.DeleteFunc(i.tombstones, func(_ string, old tombstone) bool { return now.Sub(old.deletedAt) > tombstoneTTL })
	i.tombstones[deleted.Name] = tombstone{object: deleted, era: era, deletedAt: now}
	delete(i.retainUntil, deleted.Name)
}

// deleted reports whether the state of an object in the store is one from before its deletion
// in an earlier era. The caller must hold mu.
func (i *Informer) deleted(current Object) bool {
	buried, exists := i.tombstones[current.Name]
	return exists && i.Sequence != nil && buried.era < current.Era && !i.older(buried.object, current)
}

// retained returns the objects of the copy that the store does not have. The caller must hold
// mu.
func (i *Informer) retained(now time.Time) []Retained {
	var list []Retained
	for name, known := range i.objects {
		if known.Era >= i.position.Era {
			continue
		}
		remaining := i.RetainTime
		if until, tracked := i.retainUntil[name]; tracked {
			remaining = until.Sub(now)
		}
		list = append(list, Retained{Object: known, Remaining: remaining})
	}
	return list
}

// RetainedCount returns the number of objects of the copy that the store does not have.
func (i *Informer) RetainedCount() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	count := 0
	for _, known := range i.objects {
		if known.Era < i.position.Era {
			count++
		}
	}
	return count
}

// adoptRetained adds objects that a peer retains to the objects of the copy at a position, and
// reports whether that changes them. The caller must hold mu.
func (i *Informer) adoptRetained(objects map[string]Object, position Position, retained []Retained, now time.Time) bool {
	changed := false
	for _, item := range retained {
		name := item.Object.Name
		current, exists := objects[name]
		buried, wasDeleted := i.tombstones[name]
		switch {
		case item.Object.Era >= position.Era, item.Remaining <= 0:
			continue
		case exists && !i.older(current, item.Object):
			continue
		case wasDeleted && buried.era >= position.Era:
			continue
		case !exists:
			i.retainFor(name, min(item.Remaining, i.RetainTime), now)
		}
		objects[name] = item.Object
		changed = true
	}
	return changed
}
