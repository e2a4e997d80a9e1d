// Package admission implements admission control for one endpoint. It runs in
// the agent next to the endpoint, because only there can the endpoint's load be
// bounded regardless of the number of entries. It does no I/O.
//
// Invariants:
//   - During a cold start, at most ColdLimit of the requests in flight were
//     admitted since the cold start began.
//   - At most WarmLimit requests are in flight at any time.
//   - At most ColdLimit requests wait for their first byte, so that an endpoint
//     whose cold start has not been detected yet is not overloaded.
package admission

import (
	"fmt"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	percent = 100
	// contendedPercent is the utilization, in percent of the limit, at and above
	// which the share of each workspace is bounded.
	contendedPercent = 75
	// reservedPercentPerPriority is the percentage of the limit that each
	// priority level reserves for the levels above it.
	reservedPercentPerPriority = 10
	// Retry-after hints for each reason of a refusal. Entries do not route to
	// the endpoint for that long, so a hint that outlasts its reason leaves
	// capacity unused.
	firstByteRetryAfter = 10 * time.Millisecond
	limitRetryAfter     = 30 * time.Millisecond
	coldRetryAfter      = 250 * time.Millisecond
)

// Gate admits the requests of one endpoint. Set the exported fields before the
// first call; the methods are safe for concurrent use.
type Gate struct {
	// WarmLimit is the maximum number of requests in flight.
	WarmLimit int
	// ColdLimit is the maximum number of requests that wait for their first byte,
	// and of requests in flight that were admitted in a cold phase.
	ColdLimit int
	// ColdLatency is the time to the first byte above which the endpoint is
	// considered cold.
	ColdLatency time.Duration
	// OnCold, if set, is called when a warm endpoint is detected to be cold.
	OnCold func()

	mu sync.Mutex
	// cold is set when a warm endpoint turns cold.
	cold bool
	// warmedUp is set when a cold phase ends and cleared when the endpoint is
	// ordered to load weights.
	warmedUp bool
	// resets is the number of calls of ResetToCold.
	resets   int
	inFlight int
	// awaitingFirstByte is the set of requests whose response has not started.
	awaitingFirstByte map[*Slot]struct{}
	// admittedCold is the set of requests in flight that count as admitted in
	// the current cold phase.
	admittedCold      map[*Slot]struct{}
	workspaceInFlight map[string]int
}

// Request describes a request to be admitted.
type Request struct {
	Workspace string
	Priority  int
	// MaxShare is the largest percentage of the limit that the workspace may
	// use while the endpoint is contended.
	MaxShare int
}

// Refusal is the reason for not admitting a request and a retry hint.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Load is a load report for the endpoint.
type Load struct {
	InFlight int  `json:"inFlight"`
	Limit    int  `json:"limit"`
	Cold     bool `json:"cold"`
}

// Slot represents an admitted request. Its methods are safe for concurrent use.
type Slot struct {
	gate       *Gate
	workspace  string
	admittedAt time.Time
	// resets is the number of resets of the gate when the request was admitted.
	resets int
	once   sync.Once
}

// Admit admits the request and returns its slot, or returns a refusal. The
// caller must call Release on the slot when the request ends.
func (g *Gate) Admit(request Request) (*Slot, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectCold(time.Now())
	if refusal := g.checkLimits(request); refusal != nil {
		return nil, refusal
	}
	slot := &Slot{gate: g, workspace: request.Workspace, admittedAt: time.Now(), resets: g.resets}
	g.addSlot(slot)
	g.assertBounds()
	return slot, nil
}

func (g *Gate) checkLimits(request Request) *Refusal {
	limit := g.limit()
	priorityLimit := limit - limit*reservedPercentPerPriority*(ticket.MaxPriority-request.Priority)/percent
	switch {
	case len(g.awaitingFirstByte) >= g.ColdLimit:
		return &Refusal{Reason: "the endpoint has not begun to answer earlier requests", RetryAfter: firstByteRetryAfter}
	case g.isCold() && len(g.admittedCold) >= g.ColdLimit:
		return &Refusal{Reason: "the endpoint is in cold start", RetryAfter: coldRetryAfter}
	case g.inFlight >= max(1, priorityLimit):
		return &Refusal{Reason: "the endpoint is at its limit for this priority", RetryAfter: limitRetryAfter}
	case g.exceedsShare(request, limit):
		return &Refusal{Reason: "the workspace is at its share of the endpoint", RetryAfter: limitRetryAfter}
	}
	return nil
}

func (g *Gate) exceedsShare(request Request, limit int) bool {
	contended := g.inFlight*percent >= limit*contendedPercent
	maxInFlight := max(1, limit*request.MaxShare/percent)
	return contended && g.workspaceInFlight[request.Workspace] >= maxInFlight
}

// isCold reports whether the endpoint is in a cold phase. A cold phase begins
// when the endpoint starts or loads weights, reports a cold start, fails a
// request or takes longer than ColdLatency to start a response. It ends when a
// response to a request admitted in the phase starts within ColdLatency.
func (g *Gate) isCold() bool { return g.cold || !g.warmedUp }

// limit returns the current limit on requests in flight. During a cold phase it
// is ColdLimit plus the requests that were admitted before the phase, and at
// most WarmLimit.
func (g *Gate) limit() int {
	if !g.isCold() {
		return g.WarmLimit
	}
	admittedWarm := g.inFlight - len(g.admittedCold)
	return min(g.WarmLimit, admittedWarm+g.ColdLimit)
}

func (g *Gate) addSlot(slot *Slot) {
	if g.awaitingFirstByte == nil {
		g.awaitingFirstByte = map[*Slot]struct{}{}
		g.admittedCold = map[*Slot]struct{}{}
		g.workspaceInFlight = map[string]int{}
	}
	g.inFlight++
	g.awaitingFirstByte[slot] = struct{}{}
	g.workspaceInFlight[slot.workspace]++
	if g.isCold() {
		g.admittedCold[slot] = struct{}{}
	}
}

// detectCold marks the endpoint cold if any request has waited longer than
// ColdLatency for its first byte.
func (g *Gate) detectCold(now time.Time) {
	for slot := range g.awaitingFirstByte {
		if now.Sub(slot.admittedAt) > g.ColdLatency {
			g.markCold()
			return
		}
	}
}

// markCold starts a cold phase if the endpoint is warm. Requests that still wait
// for their first byte count as admitted in it.
func (g *Gate) markCold() {
	if g.isCold() {
		return
	}
	g.cold = true
	for slot := range g.awaitingFirstByte {
		g.admittedCold[slot] = struct{}{}
	}
	if g.OnCold != nil {
		g.OnCold()
	}
}

// ResetToCold starts a cold phase because the endpoint was ordered to load
// weights.
func (g *Gate) ResetToCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmedUp = false
	g.cold = false
	g.resets++
}

// ReportCold records that the endpoint reported a cold start.
func (g *Gate) ReportCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markCold()
}

// Load returns the current load report.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectCold(time.Now())
	return Load{InFlight: g.inFlight, Limit: g.limit(), Cold: g.isCold()}
}

// assertBounds panics if the requests in flight exceed a limit.
func (g *Gate) assertBounds() {
	if g.isCold() && len(g.admittedCold) > g.ColdLimit {
		panic(fmt.Sprintf("%d requests admitted in the cold phase exceed the cold limit of %d", len(g.admittedCold), g.ColdLimit))
	}
	if g.inFlight > g.WarmLimit {
		panic(fmt.Sprintf("%d requests in flight exceed the warm limit of %d", g.inFlight, g.WarmLimit))
	}
}

// RecordFirstByte records that the response to the request started. If that took
// at most ColdLatency and the request was admitted in a cold phase, the phase
// ends unless it began with a reset after that. If it took longer, a cold phase starts.
func (s *Slot) RecordFirstByte() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, awaiting := g.awaitingFirstByte[s]; !awaiting {
		return
	}
	withinColdLatency := time.Since(s.admittedAt) <= g.ColdLatency
	if !withinColdLatency {
		g.markCold()
	}
	delete(g.awaitingFirstByte, s)
	if _, wasCold := g.admittedCold[s]; withinColdLatency && wasCold && s.resets == g.resets {
		g.markWarm()
	}
}

// markWarm ends a cold phase.
func (g *Gate) markWarm() {
	g.cold = false
	g.warmedUp = true
	clear(g.admittedCold)
}

// RecordFailure records that the endpoint rejected or failed the request, which
// starts a cold phase.
func (s *Slot) RecordFailure() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.markCold()
}

// Release removes the request from the gate's accounting. Calls after the first
// have no effect.
func (s *Slot) Release() {
	s.once.Do(func() {
		g := s.gate
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.awaitingFirstByte, s)
		g.inFlight--
		if g.workspaceInFlight[s.workspace]--; g.workspaceInFlight[s.workspace] <= 0 {
			delete(g.workspaceInFlight, s.workspace)
		}
		delete(g.admittedCold, s)
	})
}
