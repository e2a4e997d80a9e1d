package idempotency

import (
	"context"
	"maps"
	"slices"
	"time"
)

// batch applies claims and updates to a copy of a partition's head. None of them
// take effect until the copy has been stored.
type batch struct {
	head     journal
	segments *segmentIndex
	now      time.Time
	changed  bool
}

// newBatch returns a batch on a copy of the head that is stored at the given
// version. If the head is full and may list another segment, newBatch seals its
// entries as a segment and empties the copy. It also deletes expired entries and
// segments.
func newBatch(ctx context.Context, head *journal, version int64, segments *segmentIndex) (*batch, error) {
	b := &batch{
		head:     journal{Entries: maps.Clone(head.Entries), Segments: slices.Clone(head.Segments)},
		segments: segments, now: time.Now(),
	}
	if head.full() && len(head.Segments) < maxSegments {
		if err := segments.seal(ctx, version, head.Entries); err != nil {
			return nil, err
		}
		b.head.Segments = append(b.head.Segments, segmentRef{ID: version, Newest: head.newestClaimTime()})
		clear(b.head.Entries)
		b.changed = true
	}
	b.head.prune(b.now)
	return b, b.deleteExpired(ctx)
}

// deleteExpired deletes the objects of segments that are past their retention.
func (b *batch) deleteExpired(ctx context.Context) error {
	for len(b.head.Segments) > 0 && b.head.Segments[0].deletable(b.now) {
		if err := b.segments.delete(ctx, b.head.Segments[0].ID); err != nil {
			return err
		}
		b.head.Segments = b.head.Segments[1:]
		b.changed = true
	}
	return nil
}

// process applies the updates, decides the claims, and applies the updates again,
// because an update may release an attempt whose claim is in the same batch.
func (b *batch) process(ctx context.Context, claims []*pendingClaim, updates []Update) error {
	if err := b.applyUpdates(ctx, updates); err != nil {
		return err
	}
	for _, pending := range claims {
		decision, err := b.decide(ctx, pending.claim)
		if err != nil {
			return err
		}
		pending.decision = decision
	}
	return b.applyUpdates(ctx, updates)
}

// lookup returns the newest entry for a key and reports whether there is one.
func (b *batch) lookup(ctx context.Context, key keyHash) (Entry, bool, error) {
	if entry, found := b.head.Entries[key]; found {
		return entry, true, nil
	}
	return b.segments.find(ctx, b.head.Segments, key)
}

func (b *batch) putEntry(key keyHash, entry Entry) {
	b.head.Entries[key] = entry
	b.changed = true
}

// decide returns the decision on a claim. If the attempt may run, it records the
// claim.
func (b *batch) decide(ctx context.Context, claim Claim) (Decision, error) {
	key := hashKey(claim.Key)
	existing, found, err := b.lookup(ctx, key)
	switch {
	case err != nil:
		return Decision{}, err
	case found && existing.Status == Released && existing.Attempt == claim.Attempt:
		// The attempt was abandoned before this claim for it was decided.
		return Decision{Verdict: Unavailable}, nil
	case found && existing.Status == Released:
		return b.grant(key, claim), nil
	case found && existing.Body != claim.Body:
		return Decision{Verdict: Mismatch}, nil
	case found && existing.Status == Done:
		return Decision{Verdict: Repeated, Result: existing.Result}, nil
	case found && existing.Status == Claimed && existing.Attempt == claim.Attempt:
		return Decision{Verdict: Run}, nil
	case found && existing.Status == Claimed:
		return Decision{Verdict: Unknown}, nil
	}
	return b.grant(key, claim), nil
}

// grant records the claim and returns the verdict Run, or returns Unavailable if
// the journal is full.
func (b *batch) grant(key keyHash, claim Claim) Decision {
	if b.head.full() && len(b.head.Segments) >= maxSegments {
		return Decision{Verdict: Unavailable}
	}
	b.putEntry(key, Entry{Attempt: claim.Attempt, Body: claim.Body, Status: Claimed, At: b.now})
	return Decision{Verdict: Run}
}

// applyUpdates records how attempts ended. Only the attempt that has claimed a
// key may change its entry. A release for a key without an entry is recorded too,
// because the claim may still arrive.
func (b *batch) applyUpdates(ctx context.Context, updates []Update) error {
	for _, update := range updates {
		key := hashKey(update.Key)
		existing, found, err := b.lookup(ctx, key)
		if err != nil {
			return err
		}
		switch {
		case !found && update.Status == Released:
			b.putEntry(key, Entry{Attempt: update.Attempt, Status: Released, At: b.now})
		case found && existing.Attempt == update.Attempt && existing.Status == Claimed:
			existing.Status, existing.Result = update.Status, update.Result.limitSize()
			b.putEntry(key, existing)
		}
	}
	return nil
}

// limitSize returns the result, reduced to its status if it exceeds
// maxResultBytes.
func (r *Result) limitSize() *Result {
	if r == nil || len(r.Body)+r.metadataBytes() <= maxResultBytes {
		return r
	}
	return &Result{Status: r.Status}
}
