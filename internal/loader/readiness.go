package loader

import (
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/engine"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// defaultLoadTime is the assumed time to stage and load a complete weight set before
	// the first load was measured.
	defaultLoadTime = 500 * time.Millisecond
	// transfersPerChunk is how often a chunk crosses the instance's link: once when it is
	// received and once when it is forwarded.
	transfersPerChunk = 2
	// minMeasuredFetch is the time after which the measured rate of a fetch replaces the rate
	// of the link, since chunks arrive unevenly at first.
	minMeasuredFetch = time.Second
	// minReadyIn is the smallest estimate, since 0 means that none is known.
	minReadyIn = time.Millisecond
)

// readiness estimates how long it takes until the engine serves the weights that are fetched
// for it. It is safe for concurrent use.
type readiness struct {
	// linkRate is the capacity of the instance's link in bytes per second, 0 if unknown.
	linkRate float64

	mu sync.Mutex
	// manifest is the weight set that is fetched since startedAt, nil if there is none.
	// missingAtStart is the number of its chunks that were missing then.
	manifest       *weights.Manifest
	startedAt      time.Time
	missingAtStart int
	// loadTime is how long the last load took, staging included.
	loadTime time.Duration
	// loadingSince is when the current load began, zero if there is none.
	loadingSince time.Time
}

// fetchStarted records that the missing chunks of a weight set are fetched.
func (r *readiness) fetchStarted(manifest *weights.Manifest, missing int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.manifest, r.missingAtStart, r.startedAt = manifest, missing, now
}

// fetchEnded records that no weight set is fetched any more.
func (r *readiness) fetchEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.manifest = nil
}

// loadStarted records that a complete weight set is staged and loaded.
func (r *readiness) loadStarted(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loadingSince = now
}

// loadEnded records the end of a load. The time of a load that failed says nothing about the
// next one.
func (r *readiness) loadEnded(succeeded bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if succeeded && !r.loadingSince.IsZero() {
		r.loadTime = now.Sub(r.loadingSince)
	}
	r.loadingSince = time.Time{}
}

// estimate returns the time until the engine is expected to serve, 0 if it is not known.
// missing returns the number of missing chunks of a weight set.
func (r *readiness) estimate(missing func(*weights.Manifest) int, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	loadTime := r.loadTime
	if loadTime == 0 {
		loadTime = defaultLoadTime
	}
	switch {
	case !r.loadingSince.IsZero():
		return max(minReadyIn, loadTime-now.Sub(r.loadingSince))
	case r.manifest == nil:
		return 0
	}
	count := missing(r.manifest)
	fetchTime, known := r.fetchTime(count, now)
	if !known {
		return 0
	}
	return fetchTime + loadTime
}

// fetchTime returns the time until a number of missing chunks have been fetched, and false if
// it is not known.
func (r *readiness) fetchTime(missing int, now time.Time) (time.Duration, bool) {
	elapsed, received := now.Sub(r.startedAt), r.missingAtStart-missing
	if elapsed >= minMeasuredFetch {
		// A fetch that receives nothing may take any time.
		if received <= 0 {
			return 0, missing == 0
		}
		return elapsed * time.Duration(missing) / time.Duration(received), true
	}
	if r.linkRate <= 0 {
		return 0, missing == 0
	}
	bytes := float64(transfersPerChunk * missing * r.manifest.ChunkBytes)
	return time.Duration(bytes / r.linkRate * float64(time.Second)), true
}

// addReadiness adds the estimate to the status of an engine that serves no weights.
func (l *Loader) addReadiness(status *engine.Status) {
	if len(status.Weights) == 0 {
		status.ReadyIn = l.readiness.estimate(l.store.Missing, time.Now())
	}
}
