package quarantine

import (
	"slices"
	"time"
)

const (
	// shareTime is how long a crash is part of digests after something was learned about
	// it. It spans several digests and reports.
	shareTime = 10 * time.Second
	// maxSharedParts limits the parts of all crashes in a digest. The crashes about which
	// something was learned last come first.
	maxSharedParts = 512
	// maxSharedRejections limits the rejections in a digest to those that end last.
	maxSharedRejections = 64
)

// Digest is what a gateway tells others about crashes and rejections.
type Digest struct {
	Crashes    []Crash
	Rejections []Rejection
}

// Rejection is a rejected part.
type Rejection struct {
	Part    string
	Strikes int
	// Remaining is the time until the rejection ends; it is negative afterwards, while
	// only trials are allowed.
	Remaining time.Duration
	// Lifted is true if a request with the part was answered since.
	Lifted bool
	// By names the gateway that decided.
	By string
}

// Digest returns what this gateway knows. Crashes that a rejection explains, and those about which
// nothing was learned for a while, are left out.
func (q *Quarantine) Digest(now time.Time) Digest { return q.describe(now, shareTime) }

// Record returns what this gateway knows and other gateways would need if all of them restarted.
func (q *Quarantine) Record(now time.Time) Digest { return q.describe(now, crashWindow) }

// describe returns the rejections, and the crashes that none of them explains and about which
// something was learned within a time.
func (q *Quarantine) describe(now time.Time, learnedWithin time.Duration) Digest {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decide(now)
	digest := Digest{Rejections: q.describeRejections(now)}
	var shared []crashKey
	for key, known := range q.crashes {
		if now.Sub(known.changedAt) <= learnedWithin && now.Sub(known.at) <= crashWindow && !q.explained(known) {
			shared = append(shared, key)
		}
	}
	slices.SortFunc(shared, func(a, b crashKey) int { return q.crashes[b].changedAt.Compare(q.crashes[a].changedAt) })
	parts := 0
	for _, key := range shared {
		known := q.crashes[key]
		if parts += len(known.parts); parts > maxSharedParts {
			break
		}
		digest.Crashes = append(digest.Crashes, known.describe(key, now))
	}
	return digest
}

// Merge adds what another gateway knows. sameCell is true if that gateway informs the whole
// local cell.
func (q *Quarantine) Merge(digest Digest, sameCell bool, now time.Time) {
	if len(digest.Crashes) == 0 && len(digest.Rejections) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for _, received := range digest.Rejections {
		changed = q.mergeRejection(received, now) || changed
	}
	for _, received := range digest.Crashes {
		changed = q.addCrash(received, now) || changed
	}
	if changed {
		q.notify(!sameCell)
	}
	q.decide(now)
}

// mergeRejection adds a rejection and reports whether it was unknown.
func (q *Quarantine) mergeRejection(received Rejection, now time.Time) bool {
	existing := q.rejections[received.Part]
	until := now.Add(received.Remaining)
	switch {
	case existing == nil || existing.strikes < received.Strikes:
		q.reject(received.Part, received.Strikes, until.Add(-rejectionTime(received.Strikes)), Decision{By: received.By})
		if added := q.rejections[received.Part]; received.Lifted && added != nil {
			q.lift(received.Part, added, now)
		}
		return true
	case existing.strikes > received.Strikes:
		return false
	case received.Lifted && !existing.lifted:
		q.lift(received.Part, existing, now)
		return true
	case until.Before(existing.until):
		existing.until = until
	}
	return false
}
