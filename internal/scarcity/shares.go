package scarcity

import (
	"math"
	"slices"
	"time"
)

const (
	// shareWindow is the time constant with which demand and consumption decay.
	shareWindow = 10 * time.Second
	// shareInterval is how often the fair share is computed again.
	shareInterval = 100 * time.Millisecond
	// responseTokenWeight is the cost of a response token in prompt tokens.
	responseTokenWeight = 10
	// minTokens is the demand below which a workspace is forgotten.
	minTokens = 1
)

// Tokens returns the size of a job in prompt tokens.
func Tokens(prompt, response int) float64 { return float64(prompt + responseTokenWeight*response) }

// Shares determines which workspaces received more than their max-min fair share of a service: what
// all of them received is divided equally, and what a workspace does not demand is divided among
// the others. The zero value knows no workspaces.
type Shares struct {
	workspaces map[string]*account
	// fairShare is the share that was computed at computedAt.
	fairShare  float64
	computedAt time.Time
}

// account is the recent demand and consumption of a workspace in tokens.
type account struct {
	demanded  float64
	received  float64
	updatedAt time.Time
}

// decay brings the account up to date.
func (a *account) decay(now time.Time) {
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / shareWindow.Seconds())
		a.demanded, a.received, a.updatedAt = a.demanded*factor, a.received*factor, now
	}
}

// RecordDemand records the tokens of a job that arrived.
func (s *Shares) RecordDemand(workspace string, tokens float64, now time.Time) {
	s.account(workspace, now).demanded += tokens
}

// RecordReceived records the tokens of a job that got a place.
func (s *Shares) RecordReceived(workspace string, tokens float64, now time.Time) {
	s.account(workspace, now).received += tokens
}

func (s *Shares) account(workspace string, now time.Time) *account {
	if s.workspaces == nil {
		s.workspaces = map[string]*account{}
	}
	current := s.workspaces[workspace]
	if current == nil {
		current = &account{updatedAt: now}
		s.workspaces[workspace] = current
	}
	current.decay(now)
	return current
}

// Exceeded reports whether a workspace received more than its fair share.
func (s *Shares) Exceeded(workspace string, now time.Time) bool {
	current := s.workspaces[workspace]
	if current == nil {
		return false
	}
	if now.Sub(s.computedAt) >= shareInterval {
		s.fairShare, s.computedAt = s.computeFairShare(now), now
	}
	current.decay(now)
	return current.received > s.fairShare
}

// computeFairShare returns the share at which the demands, each limited to the share, add up to
// what all workspaces received. It is infinite if they received all that they demanded. It drops
// workspaces without demand.
func (s *Shares) computeFairShare(now time.Time) float64 {
	var demands []float64
	remaining := 0.0
	for name, current := range s.workspaces {
		current.decay(now)
		if current.demanded < minTokens {
			delete(s.workspaces, name)
			continue
		}
		demands = append(demands, current.demanded)
		remaining += current.received
	}
	slices.Sort(demands)
	for index, demand := range demands {
		equal := remaining / float64(len(demands)-index)
		if demand > equal {
			return equal
		}
		remaining -= demand
	}
	return math.Inf(1)
}
