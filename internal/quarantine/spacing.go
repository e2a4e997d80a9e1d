package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashSpacing is the least time between two crashes that both count: engines that end
	// at the same moment usually have a common cause, such as a power failure.
	crashSpacing = 100 * time.Millisecond
	// requestSpacing is the same for fingerprints. A gateway sends a request again as soon as its
	// endpoint has ended, and the next one ends shortly afterwards.
	requestSpacing = 40 * time.Millisecond
)

// spaced orders the crashes with a part by their age, the oldest first, and drops those that follow
// another one within the spacing, unless the part is likelier to be their cause than what else they
// have in common.
func (q *Quarantine) spaced(part string, crashes []Crash) []Crash {
	slices.SortFunc(crashes, func(a, b Crash) int { return cmp.Compare(b.Age, a.Age) })
	spacing := crashSpacing
	if isRequest(part) {
		spacing = requestSpacing
	}
	var kept []Crash
	for _, next := range crashes {
		if len(kept) == 0 || kept[len(kept)-1].Age-next.Age >= spacing || q.singledOut(part, next) {
			kept = append(kept, next)
		}
	}
	return kept
}

// singledOut reports whether a prompt part is likely to be the cause of a crash and of those at the
// same moment: all of them have it, and it was not answered before, while other parts of the
// requests were. A power failure ends engines whatever they run, mostly requests with parts that
// engines have answered.
func (q *Quarantine) singledOut(part string, candidate Crash) bool {
	known := q.crashes[crashKey{endpoint: candidate.Endpoint, incarnation: candidate.Incarnation}]
	if isRequest(part) || known.proven[part] || !known.provenPrompt() {
		return false
	}
	for _, other := range q.crashes {
		if other.at.Sub(known.at).Abs() < crashSpacing && !other.suspects(part) {
			return false
		}
	}
	return true
}

// suspects reports whether a part is suspected of the crash and not cleared.
func (c *crash) suspects(part string) bool {
	cleared, known := c.parts[part]
	return known && !cleared
}

// provenPrompt reports whether a prompt part was answered before the crash.
func (c *crash) provenPrompt() bool {
	for part := range c.proven {
		if !isRequest(part) {
			return true
		}
	}
	return false
}
