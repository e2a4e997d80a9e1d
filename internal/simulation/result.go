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
	outcomes
)

const (
	// windowLength is the length of the windows of which the worst count.
	windowLength = 2 * time.Second
	// fixedWorth is the part of a request's worth that does not depend on its size, and
	// maxWorth the most that a request is worth as a multiple of the mean.
	fixedWorth = 0.3
	maxWorth   = 4
	// answerWeight is the size of an answer token, that of a prompt token being 1.
	answerWeight = 10
	// againPrice is the part of a request's worth that it costs to refuse it again.
	againPrice = 0.3
)

// window is what was earned of what was owed to the callers that came in a time.
type window struct {
	earned float64
	owed   float64
}

func (w window) share() float64 {
	if w.owed == 0 {
		return 1
	}
	return w.earned / w.owed
}

// tally sums up what callers got.
type tally struct {
	counts  [outcomes]int
	whole   window
	windows []window
	kinds   map[string]*window
	large   window
	again   float64
	// slow is the number of callers that were accepted at once and answered late.
	slow   int
	firsts []time.Duration
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
	EarnedShare    float64 `json:"earned"`
	WorstWindowsShare   float64 `json:"windows"`
	WorstKindShare float64 `json:"kindShare"`
	LargeShare     float64 `json:"large"`
	RepeatRefusalCost     float64 `json:"again"`
	InTimeShare    float64 `json:"inTime"`
	LateShare      float64 `json:"late"`
	// SlowShare is the part of the callers accepted at once that were answered late; those
	// who come back after a refusal are late in any case.
	SlowShare    float64 `json:"slow"`
	RefusedShare float64 `json:"refused"`
	FailedShare  float64 `json:"failed"`
	// FirstEventP50 and High are the 50th and 95th percentile of the time to the first event.
	FirstEventP50 time.Duration `json:"medianNanoseconds"`
	FirstEventP95   time.Duration `json:"highNanoseconds"`
}

func (r *Run) noteServed(asked *request, first time.Time, late bool) {
	r.mu.Lock()
	r.tally.firsts = append(r.tally.firsts, first.Sub(asked.start))
	r.mu.Unlock()
	if late {
		r.note(asked, outcomeLate)
		return
	}
	r.note(asked, outcomeInTime)
}

// note records the outcome of a request.
func (r *Run) note(asked *request, got outcome) {
	size := float64(asked.prompt+answerWeight*asked.answer) / (asked.kind.Prompt.Mean + answerWeight*asked.kind.Answer.Mean)
	scale := min(maxWorth, fixedWorth+(1-fixedWorth)*size)
	earned := 0.0
	switch got {
	case outcomeInTime:
		earned = asked.kind.InTimeValue * scale
	case outcomeLate:
		earned = asked.kind.LateValue * scale
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.tally
	t.counts[got]++
	if t.kinds == nil {
		t.kinds = map[string]*window{}
	}
	if t.kinds[asked.kind.Name] == nil {
		t.kinds[asked.kind.Name] = &window{}
	}
	owed := asked.kind.InTimeValue * scale
	added := []*window{&t.whole, t.kinds[asked.kind.Name], &t.windows[int(asked.start.Sub(r.start)/windowLength)]}
	if size > largeSize {
		added = append(added, &t.large)
	}
	for _, w := range added {
		w.earned += earned
		w.owed += owed
	}
	if got == outcomeRefused {
		t.again += owed
	}
	if got == outcomeLate && asked.refused == 0 {
		t.slow++
	}
}

// largeSize is the size, as a multiple of the mean, from which a request counts as large:
// about a tenth are.
const largeSize = 2

func (t *tally) result(r *Run) Result {
	total := 0
	for _, count := range t.counts {
		total += count
	}
	part := func(of outcome) float64 { return float64(t.counts[of]) / float64(max(1, total)) }
	result := Result{
		Site: r.Site.Name, Pattern: r.Pattern.Name, Seed: r.Seed, EarnedShare: t.whole.share(), WorstKindShare: 1, LargeShare: t.large.share(),
		InTimeShare: part(outcomeInTime), LateShare: part(outcomeLate), RefusedShare: part(outcomeRefused), FailedShare: part(outcomeFailed),
	}
	if t.whole.owed > 0 {
		result.RepeatRefusalCost = againPrice * t.again / t.whole.owed
	}
	result.SlowShare = float64(t.slow) / float64(max(1, t.slow+t.counts[outcomeInTime]))
	for _, kind := range t.kinds {
		result.WorstKindShare = min(result.WorstKindShare, kind.share())
	}
	result.WorstKindShare = min(result.WorstKindShare, result.LargeShare)
	shares := make([]float64, 0, len(t.windows))
	for _, w := range t.windows {
		if w.owed > 0 {
			shares = append(shares, w.share())
		}
	}
	slices.Sort(shares)
	result.WorstWindowsShare = (shares[0] + shares[1]) / 2
	slices.Sort(t.firsts)
	if len(t.firsts) > 0 {
		result.FirstEventP50, result.FirstEventP95 = t.firsts[len(t.firsts)/2], t.firsts[len(t.firsts)*95/100]
	}
	result.Score = 0.75*result.EarnedShare + 0.15*result.WorstWindowsShare + 0.1*result.WorstKindShare - result.RepeatRefusalCost
	return result
}
