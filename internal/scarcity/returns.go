package scarcity

import "time"

const (
	// returnInterval is the length of the intervals in which promised returns are counted.
	returnInterval = 100 * time.Millisecond
	// returnsPerStep is the number of returns of an interval that get different times.
	returnsPerStep = 4
)

// Returns spreads the times at which refused callers should return. The zero value has
// promised none.
type Returns struct {
	// promised counts the returns by interval since the Unix epoch.
	promised map[int64]int
}

// Promise returns the delay after which a caller should return, between earliest and latest: in
// the first interval in which fewer callers return than late jobs are started, at startRate per
// second. If there is none, it is the interval with the fewest returns, the last of these,
// because places are more likely to be free by then.
func (r *Returns) Promise(now time.Time, earliest, latest time.Duration, startRate float64) time.Duration {
	if r.promised == nil {
		r.promised = map[int64]int{}
	}
	current := interval(now)
	for index := range r.promised {
		if index < current {
			delete(r.promised, index)
		}
	}
	chosen, capacity := int64(-1), int(startRate*returnInterval.Seconds())
	for index := interval(now.Add(earliest)); index <= interval(now.Add(latest)); index++ {
		if r.promised[index] < capacity {
			chosen = index
			break
		}
		if chosen < 0 || r.promised[index] <= r.promised[chosen] {
			chosen = index
		}
	}
	step := time.Duration(r.promised[chosen]%returnsPerStep) * returnInterval / returnsPerStep
	r.promised[chosen]++
	delay := time.Unix(0, chosen*int64(returnInterval)).Add(step).Sub(now)
	return max(earliest, min(delay, latest))
}

func interval(at time.Time) int64 { return at.UnixNano() / int64(returnInterval) }
