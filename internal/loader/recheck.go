package loader

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// recheckInterval is how often the progress of a fetch is checked.
	recheckInterval = 100 * time.Millisecond
	// stallThreshold is the time without a new chunk after which the manifest is requested
	// again: several times the time that a chunk takes.
	stallThreshold = 600 * time.Millisecond
	// minRecheckDelay and maxRecheckDelay bound the delay between two requests for the
	// manifest of a fetch that makes no progress. It doubles with each request.
	minRecheckDelay = 300 * time.Millisecond
	maxRecheckDelay = 2 * time.Second
	// repeatedMismatches is the number of times that a chunk from the origin must differ from
	// its digest in a row before the digest is doubted.
	repeatedMismatches = 2
)

// originMismatches counts for each chunk how often in a row the origin sent data that does
// not match its digest. It is safe for concurrent use.
type originMismatches struct {
	// repeated signals that a chunk reached repeatedMismatches.
	repeated chan struct{}

	mu     sync.Mutex
	counts map[weights.Digest]int
}

// record records whether a chunk from the origin matches its digest.
func (o *originMismatches) record(chunk weights.Digest, matches bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if matches {
		delete(o.counts, chunk)
		return
	}
	if o.counts == nil {
		o.counts = map[weights.Digest]int{}
	}
	o.counts[chunk]++
	if o.counts[chunk] < repeatedMismatches {
		return
	}
	select {
	case o.repeated <- struct{}{}:
	default:
	}
}

// reset forgets all mismatches.
func (o *originMismatches) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts = nil
	select {
	case <-o.repeated:
	default:
	}
}

// awaitReplacement waits until the manifest of a fetch is doubtful and another source has a
// different one, and returns that one. The manifest is doubtful while the origin sends chunks
// that don't match it, and while no chunk arrives. It returns nil when ctx ends.
func (l *Loader) awaitReplacement(ctx context.Context, wanted modelVersion, manifest *weights.Manifest) *weights.Manifest {
	l.mismatches.reset()
	missing, lastProgress := l.store.Missing(manifest), time.Now()
	var nextRequest time.Time
	delay := minRecheckDelay
	for attempt := 0; ; {
		mismatched := false
		select {
		case <-ctx.Done():
			return nil
		case <-l.mismatches.repeated:
			mismatched = true
		case <-time.After(recheckInterval):
		}
		if now := l.store.Missing(manifest); now < missing {
			missing, lastProgress, delay = now, time.Now(), minRecheckDelay
		}
		stalled := time.Since(lastProgress) >= stallThreshold
		if !mismatched && !stalled || time.Now().Before(nextRequest) {
			continue
		}
		nextRequest = time.Now().Add(delay)
		delay = min(2*delay, maxRecheckDelay)
		other, err := l.requestOtherManifest(ctx, wanted, attempt, mismatched)
		attempt++
		if err != nil {
			continue
		}
		if other, err = l.keepVerified(manifest, other); err == nil && other.Digest() != manifest.Digest() {
			return other
		}
	}
}

// requestOtherManifest requests the manifest again: from the origin if its chunks don't match
// the present one or this instance is one of the first of the tree, otherwise from other
// instances in turn.
func (l *Loader) requestOtherManifest(ctx context.Context, wanted modelVersion, attempt int, mismatched bool) (*weights.Manifest, error) {
	plan, _ := l.plans.current()
	sources := l.manifestSources(plan, wanted)
	if mismatched || sources.isRoot() {
		return l.requestFromOrigin(ctx, plan, wanted)
	}
	candidates := slices.Concat(sources.others, []membership.Instance{sources.parent})
	return l.requestFromPeer(ctx, plan, wanted, candidates[attempt%len(candidates)])
}

// keepVerified returns the other manifest, in which digests that nothing confirms are replaced
// by those of the present one whose chunks were verified: no data matches a wrong digest.
func (l *Loader) keepVerified(present, other *weights.Manifest) (*weights.Manifest, error) {
	chunks, otherChunks := present.Positions(), other.Positions()
	if len(chunks) != len(otherChunks) {
		// The configuration has another number of chunks by now.
		return other, nil
	}
	merged := slices.Clone(otherChunks)
	for index, chunk := range chunks {
		if l.store.Has(chunk) && !slices.Contains(otherChunks, chunk) {
			merged[index] = chunk
		}
	}
	manifest, _, err := weights.NewManifest(other.Model, other.Version, other.ChunkBytes, merged)
	return manifest, err
}

// replaceManifest replaces the manifest of a fetch, also for the instances that request it from
// this one. The chunks that both manifests contain are kept.
func (l *Loader) replaceManifest(wanted modelVersion, old, replacement *weights.Manifest) error {
	differing := 0
	for _, chunk := range replacement.Chunks() {
		if !slices.Contains(old.Chunks(), chunk) {
			differing++
		}
	}
	l.metrics.replacedManifests.Inc()
	l.Log.Emit(event.ManifestReplaced, event.Fields{"model": wanted.model, "version": versionOf(replacement), "differingDigests": differing})
	if err := l.weightSets.replacePinned(l.store, old, replacement); err != nil {
		return err
	}
	return l.cacheManifest(wanted, replacement)
}
