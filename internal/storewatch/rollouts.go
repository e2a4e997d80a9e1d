package storewatch

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxNamings is the number of versions of a model whose times are remembered.
const maxNamings = 8

// Rollouts remembers when the versions of models became known. It is safe for
// concurrent use.
type Rollouts struct {
	mu sync.Mutex
	// named holds the versions of each model, the oldest first.
	named map[string][]KnownVersion
}

// KnownVersion is a version of a model and when it became known.
type KnownVersion struct {
	Model   string
	Version int64
	Since   time.Time
}

// note records that a version was seen, and reports whether it is new.
func (r *Rollouts) note(model string, version int64, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for index := range r.named[model] {
		if held := &r.named[model][index]; held.Version == version {
			return false
		}
	}
	r.insert(KnownVersion{Model: model, Version: version, Since: at})
	return true
}

// Merge takes over when somebody else learned of a version, if that was earlier. So a
// process that restarts does not begin the time of a rollout anew.
func (r *Rollouts) Merge(model string, version int64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for index := range r.named[model] {
		if held := &r.named[model][index]; held.Version == version {
			if at.Before(held.Since) {
				held.Since = at
			}
			return
		}
	}
	r.insert(KnownVersion{Model: model, Version: version, Since: at})
}

// insert adds a version in the order of versions.
func (r *Rollouts) insert(added KnownVersion) {
	if r.named == nil {
		r.named = map[string][]KnownVersion{}
	}
	known := append(slices.Clone(r.named[added.Model]), added)
	slices.SortFunc(known, func(a, b KnownVersion) int { return cmp.Compare(a.Version, b.Version) })
	r.named[added.Model] = known[max(0, len(known)-maxNamings):]
}

// KnownSince returns when a version of a model became known, or zero.
func (r *Rollouts) KnownSince(model string, version int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, held := range r.named[model] {
		if held.Version == version {
			return held.Since
		}
	}
	return time.Time{}
}

// NewestKnownFor returns the newest version of a model that became known at least the given time
// ago, 0 if there is none.
func (r *Rollouts) NewestKnownFor(model string, age time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := int64(0)
	for _, held := range r.named[model] {
		if time.Since(held.Since) >= age {
			due = max(due, held.Version)
		}
	}
	return due
}

// All returns every version that is remembered.
func (r *Rollouts) All() []KnownVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []KnownVersion
	for _, known := range r.named {
		all = append(all, known...)
	}
	return all
}

// History returns the versions of a model, the oldest first.
func (r *Rollouts) History(model string) []KnownVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.named[model])
}
