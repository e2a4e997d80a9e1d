package simulation

import (
	"slices"
	"time"
)

// outcome is what became of a caller.
type outcome int

const (
	outcomeInTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	outcomeCount
)

const (
	// windowLength is the length of the windows of which the worst count.
	windowLength = 2 * time.Second
	// fixedValueShare is the part of a request's worth that does not depend on its size, and
	// maxWorth the most that a request is worth as a multiple of the mean.
	fixedValueShare  = 0.3
	maxValueMultiple = 4
	// answerTokenWeight is the size of an answer token, that of a prompt token being 1.
	answerTokenWeight = 10
	// repeatRefusalPrice is the part of a request's worth that it costs to refuse it again.
	repeatRefusalPrice = 0.3
)

// valueSum is what was earned of what was owed to the callers that came in a time.
type valueSum struct {
	earned     float64
	attainable float64
}

func (v valueSum) share() float64 {
	if v.attainable == 0 {
		return 1
	}
	return v.earned / v.attainable
}

// statistics sums up what callers got.
type statistics struct {
	counts        [outcomeCount]int
	total         valueSum
	windows       []valueSum
	byKind        map[string]*valueSum
	large         valueSum
	repeatRefused float64
	// slow is the number of callers that were accepted at once and answered late.
	slow            int
	firstEventTimes []time.Duration
}

// Result is what callers got in a run.
type Result struct {
	Site    string `json:"site"`
	Pattern string `json:"pattern"`
	Seed    uint64 `json:"seed"`
	// Score is the earned share of what was owed, weighed as on the users' sheet, less
	// what refusing callers again costs.
	Score float64 `json:"worth"`
	// EarnedShare is the earned share over the whole run, Windows that of the two worst
	// windows, KindShare that of the worst kind, Large that of the largest requests.
	EarnedShare       float64 `json:"earned"`
	WorstWindowsShare float64 `json:"windows"`
	WorstKindShare    float64 `json:"kindShare"`
	LargeShare        float64 `json:"large"`
	RepeatRefusalCost float64 `json:"again"`
	InTimeShare       float64 `json:"inTime"`
	LateShare         float64 `json:"late"`
	// SlowShare is the part of the callers accepted at once that were answered late; those
	// who come back after a refusal are late in any case.
	SlowShare    float64 `json:"slow"`
	RefusedShare float64 `json:"refused"`
	FailedShare  float64 `json:"failed"`
	// FirstEventP50 and High are the 50th and 95th percentile of the time to the first event.
	FirstEventP50 time.Duration `json:"medianNanoseconds"`
	FirstEventP95 time.Duration `json:"highNanoseconds"`
}

func (r *Run) recordServed(req *request, first time.Time, late bool) {
	r.mu.Lock()
	r.stats.firstEventTimes = append(r.stats.firstEventTimes, first.Sub(req.start))
	r.mu.Unlock()
	if late {
		r.recordOutcome(req, outcomeLate)
		return
	}
	r.recordOutcome(req, outcomeInTime)
}

// recordOutcome records the outcome of a request.
func (r *Run) recordOutcome(req *request, result outcome) {
	relativeSize := float64(req.prompt+answerTokenWeight*req.answer) / (req.kind.Prompt.Mean + answerTokenWeight*req.kind.Answer.Mean)
	scale := min(maxValueMultiple, fixedValueShare+(1-fixedValueShare)*relativeSize)
	earned := 0.0
	switch result {
	case outcomeInTime:
		earned = req.kind.InTimeValue * scale
	case outcomeLate:
		earned = req.kind.LateValue * scale
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &r.stats
	s.counts[result]++
	if s.byKind == nil {
		s.byKind = map[string]*valueSum{}
	}
	if s.byKind[req.kind.Name] == nil {
		s.byKind[req.kind.Name] = &valueSum{}
	}
	attainable := req.kind.InTimeValue * scale
	sums := []*valueSum{&s.total, s.byKind[req.kind.Name], &s.windows[int(req.start.Sub(r.start)/windowLength)]}
	if relativeSize > largeSize {
		sums = append(sums, &s.large)
	}
	for _, sum := range sums {
		sum.earned += earned
		sum.attainable += attainable
	}
	if result == outcomeRefused {
		s.repeatRefused += attainable
	}
	if result == outcomeLate && req.refusals == 0 {
		s.slow++
	}
}

// largeSize is the size, as a multiple of the mean, from which a request counts as large:
// about a tenth are.
const largeSize = 2

func (s *statistics) result(r *Run) Result {
	total := 0
	for _, count := range s.counts {
		total += count
	}
	fraction := func(o outcome) float64 { return float64(s.counts[o]) / float64(max(1, total)) }
	result := Result{
		Site: r.Site.Name, Pattern: r.Pattern.Name, Seed: r.Seed, EarnedShare: s.total.share(), WorstKindShare: 1, LargeShare: s.large.share(),
		InTimeShare: fraction(outcomeInTime), LateShare: fraction(outcomeLate), RefusedShare: fraction(outcomeRefused), FailedShare: fraction(outcomeFailed),
	}
	if s.total.attainable > 0 {
		result.RepeatRefusalCost = repeatRefusalPrice * s.repeatRefused / s.total.attainable
	}
	result.SlowShare = float64(s.slow) / float64(max(1, s.slow+s.counts[outcomeInTime]))
	for _, kind := range s.byKind {
		result.WorstKindShare = min(result.WorstKindShare, kind.share())
	}
	result.WorstKindShare = min(result.WorstKindShare, result.LargeShare)
	shares := make([]float64, 0, len(s.windows))
	for _, sum := range s.windows {
		if sum.attainable > 0 {
			shares = append(shares, sum.share())
		}
	}
	slices.Sort(shares)
	result.WorstWindowsShare = (shares[0] + shares[1]) / 2
	slices.Sort(s.firstEventTimes)
	if len(s.firstEventTimes) > 0 {
		result.FirstEventP50, result.FirstEventP95 = s.firstEventTimes[len(s.firstEventTimes)/2], s.firstEventTimes[len(s.firstEventTimes)*95/100]
	}
	result.Score = 0.75*result.EarnedShare + 0.15*result.WorstWindowsShare + 0.1*result.WorstKindShare - result.RepeatRefusalCost
	return result
}
