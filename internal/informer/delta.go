package informer

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Delta holds the objects of a copy that changed after a revision.
type Delta struct {
	// Since is the revision after which the objects changed, 0 if the delta has all
	// objects of the copy. Revision is the revision of the copy.
	Since    int64
	Revision int64
	Objects  []Object
	// Names identifies the names of all objects of the copy, so that the receiver detects
	// deleted ones.
	Names uint64
}

// Delta returns the objects that changed after a revision, and false if there is no copy.
func (i *Informer) Delta(since int64) (Delta, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delta := Delta{Since: since, Revision: i.revision, Names: hashNames(i.objects)}
	for _, object := range i.objects {
		if object.Revision > since {
			delta.Objects = append(delta.Objects, object)
		}
	}
	return delta, i.synced
}

// AdoptDelta updates the copy by a delta from a peer. A delta that is not newer is ignored.
// complete is false if the copy must be fetched as a whole, because objects were deleted or
// the delta does not follow the copy.
func (i *Informer) AdoptDelta(delta Delta) (changed, complete bool) {
	i.mu.Lock()
	base, revision := i.objects, i.revision
	i.mu.Unlock()
	if delta.Revision <= revision {
		return false, true
	}
	objects := map[string]Object{}
	switch {
	case delta.Since > revision:
		return false, false
	case delta.Since > 0:
		objects = maps.Clone(base)
	}
	for _, object := range delta.Objects {
		objects[object.Name] = object
	}
	if hashNames(objects) != delta.Names {
		return false, false
	}
	return i.AdoptSnapshot(Snapshot{Revision: delta.Revision, Objects: objects}), true
}

// hashNames returns a hash of the names of the objects that does not depend on their order.
func hashNames(objects map[string]Object) uint64 {
	sum := uint64(len(objects))
	for name := range objects {
		sum += xxhash.Sum64String(name)
	}
	return sum
}
