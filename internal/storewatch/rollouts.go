package storewatch

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxVersionsPerModel is the number of versions of a model whose times are remembered.
const maxVersionsPerModel = 8

// Rollouts remembers when the versions of models became known. It is safe for
// concurrent use.
type Rollouts struct {
	mu sync.Mutex
	// versions holds the versions of each model, the oldest first.
	versions map[string][]KnownVersion
}

// KnownVersion is a version of a model and when it became known.
type KnownVersion struct {
	Model   string
	Version int64
	Since   time.Time
}

// add records that a version was seen, and reports whether it is new.
func (r *Rollouts) add(model string, version int64, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for index := range r.versions[model] {
		if entry := &r.versions[model][index]; entry.Version == version {
			return false
		}
	}
	r.insert(KnownVersion{Model: model, Version: version, Since: since})
	return true
}

// Merge takes over when somebody else learned of a version, if that was earlier. So a
// process that restarts does not begin the time of a rollout anew.
func (r *Rollouts) Merge(model string, version int64, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for index := range r.versions[model] {
		if entry := &r.versions[model][index]; entry.Version == version {
			if since.Before(entry.Since) {
				entry.Since = since
			}
			return
		}
	}
	r.insert(KnownVersion{Model: model, Version: version, Since: since})
}

// insert adds a version in the order of versions.
func (r *Rollouts) insert(version KnownVersion) {
	if r.versions == nil {
		r.versions = map[string][]KnownVersion{}
	}
	versions := append(slices.Clone(r.versions[version.Model]), version)
	slices.SortFunc(versions, func(a, b KnownVersion) int { return cmp.Compare(a.Version, b.Version) })
	r.versions[version.Model] = versions[max(0, len(versions)-maxVersionsPerModel):]
}

// KnownSince returns when a version of a model became known, or zero.
func (r *Rollouts) KnownSince(model string, version int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range r.versions[model] {
		if entry.Version == version {
			return entry.Since
		}
	}
	return time.Time{}
}

// NewestKnownFor returns the newest version of a model that became known at least the given time
// ago, 0 if there is none.
func (r *Rollouts) NewestKnownFor(model string, age time.Duration) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	newest := int64(0)
	for _, entry := range r.versions[model] {
		if time.Since(entry.Since) >= age {
			newest = max(newest, entry.Version)
		}
	}
	return newest
}

// All returns every version that is remembered.
func (r *Rollouts) All() []KnownVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []KnownVersion
	for _, versions := range r.versions {
		all = append(all, versions...)
	}
	return all
}

// History returns the versions of a model, the oldest first.
func (r *Rollouts) History(model string) []KnownVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.versions[model])
}
