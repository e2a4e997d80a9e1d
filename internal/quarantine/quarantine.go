// Package quarantine decides which requests and prompt parts crash the endpoints that answer
// them. It collects crashes, which gateways share, and rejects a part once it was in requests at
// several endpoint starts that ended, while no request with it was answered. The fingerprint of a
// request is a part that only equal requests have. The package does no I/O.
package quarantine

import (
	"sync"
	"time"
)

const (
	// minCrashes is the number of endpoint starts that must have ended with a part before
	// the part is rejected.
	minCrashes = 3
	// provenWindow is the time before a crash in which an answer to a request with a part makes
	// the part unlikely to be the cause.
	provenWindow = 10 * time.Minute
	// settleTime is the age from which a crash counts. By then, gateways have learned
	// of requests that were answered meanwhile.
	settleTime = 700 * time.Millisecond
	// crashWindow is how long a crash counts.
	crashWindow = 3 * time.Minute
	// maxCrashes and maxRejections limit the memory; the oldest ones are dropped first.
	maxCrashes    = 256
	maxRejections = 1024
	// maxPartsPerCrash limits the prompt parts of a crash, which come from several requests, and
	// maxRequestsPerCrash the fingerprints.
	maxPartsPerCrash    = 96
	maxRequestsPerCrash = 96
)

// Quarantine holds the crashes and rejections known to a gateway. Set the exported fields
// before the first call. It is safe for concurrent use.
type Quarantine struct {
	// Self is the name of the local gateway. Gateways returns the names of the others that
	// are alive.
	Self     string
	Gateways func() []string
	// OnRejected is called with each part that becomes rejected, OnEnded with each part
	// whose rejection ends because a request with it was answered, and OnTrial with each part
	// that a request is sent with to find out whether it still crashes engines. They must
	// not call back.
	OnRejected func(Decision)
	OnEnded    func(part string)
	OnTrial    func(part string)

	mu         sync.Mutex
	crashes    map[crashKey]*crash
	rejections map[string]*rejection
	// answeredParts and answeredRequests are separate, since each request has a fingerprint of
	// its own, so that these displace the ones before much faster.
	answeredParts    answerTimes
	answeredRequests answerTimes
	// decideAt is when a decision may change next; zero if none is pending.
	decideAt time.Time
	// cellNews is closed when something is learned that the local cell may not know yet,
	// news when anything is learned.
	cellNews chan struct{}
	news     chan struct{}
}

// Decision is a rejection with what it is based on.
type Decision struct {
	Part string
	// Strikes is the number of times that the part was rejected.
	Strikes int
	Until   time.Time
	// Crashes are the crashes that this gateway decided on, the oldest first; empty if
	// another gateway decided. By names the gateway that decided.
	Crashes []Crash
	By      string
}

// RecordCrash records that an endpoint ended while it processed requests. The parts are the
// fingerprints of these requests, and the prompt parts that they shared with others if it ended
// before or soon after their first events.
func (q *Quarantine) RecordCrash(recorded Crash, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	recorded.Reporter = q.Self
	if q.addCrash(recorded, now) {
		q.notify(true)
	}
	q.decide(now)
}

// RecordAnswered records that an endpoint survived a request with the parts. They are no
// longer suspected of the crashes so far, and their rejections end.
func (q *Quarantine) RecordAnswered(parts []string, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	changed := false
	for _, part := range parts {
		q.answers(part).record(part, now)
		for _, known := range q.crashes {
			if known.clear(part) {
				known.changedAt, changed = now, true
			}
		}
		if existing := q.rejections[part]; existing != nil && !existing.lifted {
			q.lift(part, existing, now)
			changed = true
		}
	}
	if changed {
		q.notify(true)
	}
}

// answers returns when requests with parts of the same kind were answered.
func (q *Quarantine) answers(part string) *answerTimes {
	if isRequest(part) {
		return &q.answeredRequests
	}
	return &q.answeredParts
}

// Rejected returns the first of the parts that is rejected and the time until the rejection
// ends, or an empty string. If a rejection has ended and this gateway may send a single
// request with the part, trial is true.
func (q *Quarantine) Rejected(parts []string, now time.Time) (part string, remaining time.Duration, trial bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.decide(now)
	if len(q.rejections) == 0 {
		return "", 0, false
	}
	var candidates []string
	for _, part := range parts {
		existing := q.rejections[part]
		switch {
		case existing == nil || existing.lifted:
		case now.Before(existing.until):
			return part, existing.until.Sub(now), false
		default:
			candidates = append(candidates, part)
		}
	}
	for _, part := range candidates {
		if wait := q.rejections[part].untilTrial(part, q.Self, q.Gateways(), now); wait > 0 {
			return part, wait, false
		}
	}
	for _, part := range candidates {
		q.rejections[part].triedAt = now
		q.OnTrial(part)
	}
	return "", 0, len(candidates) > 0
}

// Size returns the number of rejected parts.
func (q *Quarantine) Size() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := 0
	for _, existing := range q.rejections {
		if !existing.lifted {
			count++
		}
	}
	return count
}

// CellNews returns a channel that is closed when this gateway learns something that the
// other gateways of its cell may not know.
func (q *Quarantine) CellNews() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return channel(&q.cellNews)
}

// News returns a channel that is closed when this gateway learns anything.
func (q *Quarantine) News() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return channel(&q.news)
}

func channel(current *chan struct{}) <-chan struct{} {
	if *current == nil {
		*current = make(chan struct{})
	}
	return *current
}

// notify announces news, to the local cell too if cell is set.
func (q *Quarantine) notify(cell bool) {
	announced := []*chan struct{}{&q.news}
	if cell {
		announced = append(announced, &q.cellNews)
	}
	for _, current := range announced {
		if *current != nil {
			close(*current)
			*current = nil
		}
	}
}

// addCrash adds a crash or merges it with the known one of the same engine start, and
// reports whether that changed anything.
func (q *Quarantine) addCrash(added Crash, now time.Time) bool {
	if added.Age > crashWindow {
		return false
	}
	at := now.Add(-added.Age)
	key := crashKey{endpoint: added.Endpoint, incarnation: added.Incarnation}
	known := q.crashes[key]
	changed := known == nil
	if known == nil {
		if q.crashes == nil {
			q.crashes = map[crashKey]*crash{}
		}
		known = &crash{at: at, reporter: added.Reporter, parts: map[string]bool{}, proven: map[string]bool{}}
		q.crashes[key] = known
		q.dropOldCrashes(now)
	}
	if at.Before(known.at) {
		known.at = at
	}
	for _, part := range added.Parts {
		changed = known.suspect(part) || changed
		last := q.answers(part).last(part)
		if !last.Before(known.at) {
			known.clear(part)
		}
		if !last.IsZero() && known.at.Sub(last) <= provenWindow {
			changed = known.prove(part) || changed
		}
		q.renew(part, known.at, now)
	}
	for _, part := range added.Cleared {
		changed = known.suspect(part) || changed
		changed = known.clear(part) || changed
	}
	for _, part := range added.Proven {
		changed = known.prove(part) || changed
	}
	if changed {
		known.changedAt, q.decideAt = now, now
	}
	return changed
}

// dropOldCrashes drops the crashes that no longer count, and the oldest ones beyond
// maxCrashes.
func (q *Quarantine) dropOldCrashes(now time.Time) {
	for key, known := range q.crashes {
		if now.Sub(known.at) > crashWindow {
			delete(q.crashes, key)
		}
	}
	for len(q.crashes) > maxCrashes {
		var oldest crashKey
		for key, known := range q.crashes {
			if existing := q.crashes[oldest]; existing == nil || known.at.Before(existing.at) {
				oldest = key
			}
		}
		delete(q.crashes, oldest)
	}
}

// decide rejects the parts that were in enough crashes.
func (q *Quarantine) decide(now time.Time) {
	if q.decideAt.IsZero() || now.Before(q.decideAt) {
		return
	}
	for q.rejectMostSuspected(now) {
	}
}

// rejectMostSuspected rejects the parts with the most crashes, if these are enough. Crashes
// with a rejected part are explained by it and do not count for others. Parts that were answered
// before their crashes are rejected only if no other part is in enough crashes: requests that
// share them with the cause of the crashes are sound. If a fingerprint is in as many crashes as a
// prompt part, only the fingerprint is rejected, since sound requests may have the prompt part.
func (q *Quarantine) rejectMostSuspected(now time.Time) bool {
	suspects := q.suspects(now)
	unproven := false
	for _, found := range suspects {
		unproven = unproven || !found.proven
	}
	most, requestOnly := 0, false
	for part, found := range suspects {
		if found.proven && unproven {
			delete(suspects, part)
			continue
		}
		most = max(most, len(found.crashes))
	}
	for part, found := range suspects {
		requestOnly = requestOnly || (len(found.crashes) == most && isRequest(part))
	}
	for part, found := range suspects {
		if len(found.crashes) == most && (isRequest(part) || !requestOnly) {
			q.reject(part, q.nextStrikes(part), now, Decision{Crashes: found.crashes, By: q.Self})
			q.notify(true)
		}
	}
	return len(suspects) > 0
}

// suspect is a part that was in enough crashes to be rejected.
type suspect struct {
	crashes []Crash
	// proven is true if a request with the part was answered before one of the crashes.
	proven bool
}

// suspects returns the parts that are in enough crashes, and sets decideAt.
func (q *Quarantine) suspects(now time.Time) map[string]*suspect {
	q.decideAt = time.Time{}
	suspects := map[string]*suspect{}
	for key, known := range q.crashes {
		if now.Sub(known.at) > crashWindow {
			continue
		}
		if settled := known.at.Add(settleTime); now.Before(settled) {
			if q.decideAt.IsZero() || settled.Before(q.decideAt) {
				q.decideAt = settled
			}
			continue
		}
		if q.explained(known) {
			continue
		}
		described := known.describe(key, now)
		for _, part := range described.Parts {
			found := suspects[part]
			if found == nil {
				found = &suspect{}
				suspects[part] = found
			}
			found.crashes = append(found.crashes, described)
			found.proven = found.proven || known.proven[part]
		}
	}
	for part, found := range suspects {
		if len(found.crashes) >= minCrashes {
			found.crashes = q.spaced(part, found.crashes)
		}
		if len(found.crashes) < minCrashes {
			delete(suspects, part)
		}
	}
	return suspects
}

// explained reports whether a crash involved a rejected part.
func (q *Quarantine) explained(known *crash) bool {
	if len(q.rejections) == 0 {
		return false
	}
	for part, cleared := range known.parts {
		if existing := q.rejections[part]; !cleared && existing != nil && !existing.lifted {
			return true
		}
	}
	return false
}
