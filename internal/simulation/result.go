package simulation

import (
	"slices"
	"time"
)

// outcome is the final result of a caller's request.
type outcome int

const (
	outcomeInTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
	outcomeCount
)

const (
	// windowLength is the length of the time windows that WorstWindowsShare is computed from.
	windowLength = 2 * time.Second
	// fixedValueShare is the part of a request's value that does not depend on its size.
	// maxValueMultiple is the highest value of a request as a multiple of the mean value.
	fixedValueShare  = 0.3
	maxValueMultiple = 4
	// answerTokenWeight is the size of an answer token in prompt tokens.
	answerTokenWeight = 10
	// repeatRefusalPrice is the cost of a repeated refusal as a part of the request's value.
	repeatRefusalPrice = 0.3
)

// valueSum sums the values of a set of requests: those earned by responses, and those
// attainable if every response is in time.
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

// statistics accumulates the outcomes of requests.
type statistics struct {
	outcomeCounts [outcomeCount]int
	total         valueSum
	windows       []valueSum
	byKind        map[string]*valueSum
	large         valueSum
	refusedValue  float64
	// servedByKind counts the served requests of each kind, endedByKind all of them.
	servedByKind map[string]int
	endedByKind  map[string]int
	// slowCount is the number of requests that were accepted at the first attempt and answered
	// late.
	slowCount int
	// left is the number of attempts whose caller left, leftAsking that of those for which
	// another cell was being asked.
	left            int
	leftAsking      int
	firstEventTimes []time.Duration
}

// Result summarizes the outcomes of a run.
type Result struct {
	Site    string `json:"site"`
	Pattern string `json:"pattern"`
	Seed    uint64 `json:"seed"`
	// Score is the weighted sum of EarnedShare, WorstWindowsShare and WorstKindShare, with
	// the weights that the users specify, less RepeatRefusalCost.
	Score float64 `json:"worth"`
	// EarnedShare is the earned part of the attainable value over the whole run.
	// WorstWindowsShare is its mean over the two worst time windows, WorstKindShare its
	// minimum over the kinds and the large requests, and LargeShare its value for the large
	// requests.
	EarnedShare       float64 `json:"earned"`
	WorstWindowsShare float64 `json:"windows"`
	WorstKindShare    float64 `json:"kindShare"`
	LargeShare        float64 `json:"large"`
	RepeatRefusalCost float64 `json:"again"`
	// KindShares holds the earned part of the attainable value of each kind, ServedShares the
	// part of its requests that were served, in time or late.
	KindShares   map[string]float64 `json:"kinds"`
	ServedShares map[string]float64 `json:"servedKinds"`
	InTimeShare  float64            `json:"inTime"`
	LateShare    float64            `json:"late"`
	// SlowShare is the part of the callers accepted at the first attempt that were answered
	// late. Callers that retry after a refusal are not counted, as they are late in any case.
	SlowShare    float64 `json:"slow"`
	RefusedShare float64 `json:"refused"`
	FailedShare  float64 `json:"failed"`
	// FirstEventP50 and FirstEventP95 are the 50th and 95th percentile of the time to the
	// first event.
	FirstEventP50 time.Duration `json:"medianNanoseconds"`
	FirstEventP95 time.Duration `json:"highNanoseconds"`
	// Left is the number of attempts whose caller left, LeftAsking that of those for which
	// another cell was being asked. Unreleased is the number of jobs that gateways still count
	// after the last one has ended.
	Left       int `json:"left"`
	LeftAsking int `json:"leftAsking"`
	Unreleased int `json:"unreleased"`
}

func (r *Run) recordServed(req *request, first time.Time, late bool) {
	if req.leaves {
		return
	}
	r.mu.Lock()
	r.stats.firstEventTimes = append(r.stats.firstEventTimes, first.Sub(req.start))
	r.mu.Unlock()
	if late {
		r.recordOutcome(req, outcomeLate)
		return
	}
	r.recordOutcome(req, outcomeInTime)
}

// recordOutcome records the outcome of a request whose caller does not leave.
func (r *Run) recordOutcome(req *request, result outcome) {
	if req.leaves {
		return
	}
	relativeSize := float64(req.promptTokens+answerTokenWeight*req.answerTokens) / (req.kind.PromptTokens.Mean + answerTokenWeight*req.kind.AnswerTokens.Mean)
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
	s.outcomeCounts[result]++
	if s.byKind == nil {
		s.byKind, s.servedByKind, s.endedByKind = map[string]*valueSum{}, map[string]int{}, map[string]int{}
	}
	if s.byKind[req.kind.Name] == nil {
		s.byKind[req.kind.Name] = &valueSum{}
	}
	attainable := req.kind.InTimeValue * scale
	s.endedByKind[req.kind.Name]++
	if result == outcomeInTime || result == outcomeLate {
		s.servedByKind[req.kind.Name]++
	}
	sums := []*valueSum{&s.total, s.byKind[req.kind.Name], &s.windows[int(req.start.Sub(r.start)/windowLength)]}
	if relativeSize > largeSize {
		sums = append(sums, &s.large)
	}
	for _, sum := range sums {
		sum.earned += earned
		sum.attainable += attainable
	}
	if result == outcomeRefused {
		s.refusedValue += attainable
	}
	if result == outcomeLate && req.refusals == 0 {
		s.slowCount++
	}
}

// largeSize is the size, as a multiple of the mean, above which a request counts as large.
// About a tenth of the requests are large.
const largeSize = 2

func (s *statistics) result(r *Run) Result {
	total := 0
	for _, count := range s.outcomeCounts {
		total += count
	}
	fraction := func(o outcome) float64 { return float64(s.outcomeCounts[o]) / float64(max(1, total)) }
	result := Result{
		Site: r.Site.Name, Pattern: r.Pattern.Name, Seed: r.Seed, EarnedShare: s.total.share(), WorstKindShare: 1, LargeShare: s.large.share(),
		Left: s.left, LeftAsking: s.leftAsking, Unreleased: r.runningJobs(),
		InTimeShare: fraction(outcomeInTime), LateShare: fraction(outcomeLate), RefusedShare: fraction(outcomeRefused), FailedShare: fraction(outcomeFailed),
	}
	if s.total.attainable > 0 {
		result.RepeatRefusalCost = repeatRefusalPrice * s.refusedValue / s.total.attainable
	}
	result.SlowShare = float64(s.slowCount) / float64(max(1, s.slowCount+s.outcomeCounts[outcomeInTime]))
	result.KindShares, result.ServedShares = map[string]float64{}, map[string]float64{}
	for name, kind := range s.byKind {
		result.KindShares[name] = kind.share()
		result.ServedShares[name] = float64(s.servedByKind[name]) / float64(s.endedByKind[name])
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
