package quarantine

import (
	"strings"
	"time"
)

// maxAnsweredParts limits the memory of answerTimes to twice this number of parts.
const maxAnsweredParts = 2048

// answerTimes holds when a request with a part was last answered, for the parts that were
// answered most recently.
type answerTimes struct {
	current, previous map[string]time.Time
}

func (a *answerTimes) record(part string, at time.Time) {
	if a.current == nil || len(a.current) >= maxAnsweredParts {
		a.previous, a.current = a.current, map[string]time.Time{}
	}
	if _, known := a.current[part]; !known {
		// The part may be a substring of a request header.
		part = strings.Clone(part)
	}
	a.current[part] = at
}

func (a *answerTimes) last(part string) time.Time {
	if at, found := a.current[part]; found {
		return at
	}
	return a.previous[part]
}
