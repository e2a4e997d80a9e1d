package storewatch

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxVersionsPerModel is the number of versions retained per model.
const maxVersionsPerModel = 8

// Rollouts records when the versions of models became known. It is safe for concurrent
// use.
type Rollouts struct {
	mu sync.Mutex
	// versions holds the versions of each model in ascending order.
	versions map[string][]KnownVersion
}

// KnownVersion is a version of a model and the time since which it has been known.
type KnownVersion struct {
	Model   string
	Version int64
	Since   time.Time
}

// add records a version and reports whether it is new.
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

// Merge records the time at which a version became known to another process, if it is
// earlier than the recorded time. This way, a process that restarts does not reset the
// start time of a rollout.
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

// insert adds a version in ascending order and removes the lowest ones beyond
// maxVersionsPerModel. The caller must hold mu.
func (r *Rollouts) insert(version KnownVersion) {
	if r.versions == nil {
		r.versions = map[string][]KnownVersion{}
	}
	versions := append(slices.Clone(r.versions[version.Model]), version)
	slices.SortFunc(versions, func(a, b KnownVersion) int { return cmp.Compare(a.Version, b.Version) })
	r.versions[version.Model] = versions[max(0, len(versions)-maxVersionsPerModel):]
}

// KnownSince returns when a version of a model became known, or the zero time if it is
// unknown.
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

// NewestKnownFor returns the highest version of a model that has been known for at
// least age, or 0 if there is none.
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

// ReplacedSince returns since when a higher version of a model than the given one has been
// known, or the zero time if there is none.
func (r *Rollouts) ReplacedSince(model string, version int64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var since time.Time
	for _, entry := range r.versions[model] {
		if entry.Version > version && (since.IsZero() || entry.Since.Before(since)) {
			since = entry.Since
		}
	}
	return since
}

// All returns the retained versions of all models.
func (r *Rollouts) All() []KnownVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []KnownVersion
	for _, versions := range r.versions {
		all = append(all, versions...)
	}
	return all
}

// History returns the retained versions of a model in ascending order.
func (r *Rollouts) History(model string) []KnownVersion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.versions[model])
}
