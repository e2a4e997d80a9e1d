package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/membership"
)

const (
	// firstRejection is how long a part is rejected at first. Each further rejection lasts
	// rejectionGrowth times longer, up to maxRejection.
	firstRejection  = time.Minute
	rejectionGrowth = 4
	maxRejection    = 24 * time.Hour
	// trialSlot is the time that each gateway in turn has for the trial of a part. It
	// spans a request and the time until the other gateways know its outcome.
	trialSlot = 15 * time.Second
	// trialStart is the part of the slot in which the trial may start.
	trialStart = trialSlot / 3
)

// rejection is a part that is rejected until a time, and from then on except for trials. If
// it is lifted, the part is not rejected, but its strikes are remembered.
type rejection struct {
	strikes int
	until   time.Time
	lifted  bool
	by      string
	triedAt time.Time
}

// rejectionTime returns how long a part is rejected.
func rejectionTime(strikes int) time.Duration {
	duration := firstRejection
	for ; strikes > 1 && duration < maxRejection; strikes-- {
		duration *= rejectionGrowth
	}
	return min(duration, maxRejection)
}

// untilTrial returns the time until this gateway may send a request with the part, 0 if it
// may now. The gateways take turns, so that only one request is sent although they do not
// coordinate.
func (r *rejection) untilTrial(part, self string, others []string, now time.Time) time.Duration {
	rank := 0
	for _, other := range others {
		if membership.Score(part, other) > membership.Score(part, self) {
			rank++
		}
	}
	since := now.Sub(r.until)
	turn := int(since/trialSlot) % (len(others) + 1)
	inSlot := since % trialSlot
	if turn != rank || inSlot > trialStart || now.Sub(r.triedAt) < trialSlot {
		return trialSlot - inSlot
	}
	return 0
}

// nextStrikes returns the number of strikes of a part after its next rejection.
func (q *Quarantine) nextStrikes(part string) int {
	if existing := q.rejections[part]; existing != nil {
		return existing.strikes + 1
	}
	return 1
}

// reject rejects a part from a time on.
func (q *Quarantine) reject(part string, strikes int, from time.Time, decision Decision) {
	if q.rejections == nil {
		q.rejections = map[string]*rejection{}
	}
	until := from.Add(rejectionTime(strikes))
	q.rejections[part] = &rejection{strikes: strikes, until: until, by: decision.By}
	q.dropOldRejections()
	decision.Part, decision.Strikes, decision.Until = part, strikes, until
	q.OnRejected(decision)
}

// renew rejects a part again if a crash followed the end of its rejection.
func (q *Quarantine) renew(part string, crashedAt, now time.Time) {
	existing := q.rejections[part]
	if existing == nil || existing.lifted || crashedAt.Before(existing.until) {
		return
	}
	q.reject(part, q.nextStrikes(part), now, Decision{By: q.Self})
	q.notify(true)
}

// lift ends the rejection of a part.
func (q *Quarantine) lift(part string, existing *rejection, now time.Time) {
	existing.lifted = true
	for _, known := range q.crashes {
		known.clear(part)
	}
	// Crashes that the rejection explained may count for other parts now.
	q.decideAt = now
	q.OnEnded(part)
}

// dropOldRejections drops the rejections that end first, beyond maxRejections.
func (q *Quarantine) dropOldRejections() {
	for len(q.rejections) > maxRejections {
		var oldest string
		for part, existing := range q.rejections {
			if first := q.rejections[oldest]; first == nil || existing.until.Before(first.until) {
				oldest = part
			}
		}
		delete(q.rejections, oldest)
	}
}

// describeRejections returns the rejections for a digest, ordered by part.
func (q *Quarantine) describeRejections(now time.Time) []Rejection {
	var described []Rejection
	for part, existing := range q.rejections {
		described = append(described, Rejection{Part: part, Strikes: existing.strikes, Remaining: existing.until.Sub(now), Lifted: existing.lifted, By: existing.by})
	}
	slices.SortFunc(described, func(a, b Rejection) int { return cmp.Compare(b.Remaining, a.Remaining) })
	return described[:min(len(described), maxSharedRejections)]
}
