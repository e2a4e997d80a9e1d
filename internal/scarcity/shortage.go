package scarcity

import (
	"cmp"
	"slices"
	"time"
)

// MaxAge is how long a service counts as scarce after a job lacked a place.
const MaxAge = time.Second

// Shortage records when jobs of each priority last lacked a place: they arrived on time and
// were queued or refused. The zero value is not scarce.
type Shortage struct {
	lastAt map[int]time.Time
}

// Lack is the age of the last lack of a place for a priority.
type Lack struct {
	Priority int
	Age      time.Duration
}

// Record records that a job of a priority lacked a place at a time.
func (s *Shortage) Record(priority int, at time.Time) {
	if s.lastAt == nil {
		s.lastAt = map[int]time.Time{}
	}
	if at.After(s.lastAt[priority]) {
		s.lastAt[priority] = at
	}
}

// Recent returns the priorities that lacked places within MaxAge, the most urgent first, and
// drops the others.
func (s *Shortage) Recent(now time.Time) []Lack {
	var recent []Lack
	for priority, at := range s.lastAt {
		age := now.Sub(at)
		if age > MaxAge {
			delete(s.lastAt, priority)
			continue
		}
		recent = append(recent, Lack{Priority: priority, Age: max(0, age)})
	}
	slices.SortFunc(recent, func(a, b Lack) int { return cmp.Compare(a.Priority, b.Priority) })
	return recent
}

// MostUrgent returns the most urgent priority that lacked places within MaxAge, and false if
// there is none.
func (s *Shortage) MostUrgent(now time.Time) (priority int, scarce bool) {
	for candidate, at := range s.lastAt {
		if now.Sub(at) <= MaxAge && (!scarce || candidate < priority) {
			priority, scarce = candidate, true
		}
	}
	return priority, scarce
}
