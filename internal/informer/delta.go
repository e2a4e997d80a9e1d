package informer

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Delta holds the objects of a copy that changed after a position.
type Delta struct {
	// Since is the position after which the objects changed, zero if the delta has all
	// objects of the copy. Era and Revision are the position of the copy.
	Since    Position
	Era      int64
	Revision int64
	Objects  []Object
	// Names identifies the names of all objects of the copy, so that the receiver detects
	// deleted ones. It does not include the retained ones.
	Names uint64
	// Retained holds the objects of the copy that the store does not have.
	Retained []Retained
}

// Position returns the position of the copy.
func (d *Delta) Position() Position { return Position{Era: d.Era, Revision: d.Revision} }

// Delta returns the objects that changed after a position, and false if there is no copy.
func (i *Informer) Delta(since Position) (Delta, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if since.Era != i.position.Era {
		since = Position{}
	}
	stored := i.storedObjects()
	delta := Delta{Since: since, Era: i.position.Era, Revision: i.position.Revision, Names: hashNames(stored), Retained: i.retained(time.Now())}
	for _, object := range stored {
		if object.Revision > since.Revision {
			delta.Objects = append(delta.Objects, object)
		}
	}
	return delta, i.synced
}

// storedObjects returns the objects of the copy that the store has. The caller must hold mu.
func (i *Informer) storedObjects() map[string]Object {
	stored := maps.Clone(i.objects)
	maps.DeleteFunc(stored, func(_ string, object Object) bool { return object.Era < i.position.Era })
	return stored
}

// AdoptDelta updates the copy by a delta from a peer. Of a delta that is not newer, only the
// retained objects are adopted. complete is false if the copy must be fetched as a whole,
// because objects were deleted or the delta does not follow the copy.
func (i *Informer) AdoptDelta(delta Delta) (changed, complete bool) {
	i.mu.Lock()
	base, position := i.storedObjects(), i.position
	i.mu.Unlock()
	if !delta.Position().After(position) {
		return delta.Era == position.Era && i.mergeRetained(delta.Retained), true
	}
	objects := map[string]Object{}
	switch {
	case !delta.Since.IsZero() && (delta.Since.Era != position.Era || delta.Since.Revision > position.Revision):
		return false, false
	case !delta.Since.IsZero():
		objects = base
	}
	for _, object := range delta.Objects {
		objects[object.Name] = object
	}
	if hashNames(objects) != delta.Names {
		return false, false
	}
	return i.adopt(Snapshot{Era: delta.Era, Revision: delta.Revision, Objects: objects}, delta.Retained), true
}

// mergeRetained adds objects that a peer retains to the copy, and reports whether that changes
// it.
func (i *Informer) mergeRetained(retained []Retained) bool {
	if len(retained) == 0 {
		return false
	}
	i.mu.Lock()
	objects := maps.Clone(i.objects)
	changed := i.adoptRetained(objects, i.position, retained, time.Now())
	if changed {
		i.objects = objects
	}
	i.mu.Unlock()
	if changed {
		i.notifyChange()
	}
	return changed
}

// hashNames returns a hash of the names of the objects that does not depend on their order.
func hashNames(objects map[string]Object) uint64 {
	sum := uint64(len(objects))
	for name := range objects {
		sum += xxhash.Sum64String(name)
	}
	return sum
}
