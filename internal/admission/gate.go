// Package admission decides, beside an endpoint, which requests the endpoint
// gets. It is the only place that can bound an endpoint's work, whatever the
// number of entries. It does no I/O.
//
// Invariants: an endpoint in cold start never has more than its cold limit of
// requests that began in the cold start; no endpoint ever has more than its
// warm limit; never more than the cold limit wait for their first byte, so
// an endpoint that turns cold unnoticed gets no more than it bears.
package admission

import (
	"fmt"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	percent = 100
	// contendedPercent is the part of the limit in use from which the share of
	// a workspace is bounded.
	contendedPercent = 75
	// reservedPercentPerPriority is the part of the limit that each step of priority
	// reserves for the higher priorities.
	reservedPercentPerPriority = 10
	// Retry hints. A caller leaves the endpoint out for that long, so a hint
	// longer than the reason lasts wastes the endpoint's capacity.
	firstByteRetryAfter = 10 * time.Millisecond
	limitRetryAfter     = 30 * time.Millisecond
	coldRetryAfter      = 250 * time.Millisecond
)

// Gate admits the requests of one endpoint. Set the exported fields before the
// first call; the methods are safe for concurrent use.
type Gate struct {
	WarmLimit   int
	ColdLimit   int
	ColdLatency time.Duration
	// OnCold, if set, is called when the endpoint is first seen cold.
	OnCold func()

	mu       sync.Mutex
	cold     bool
	warmedUp bool
	inFlight int
	// awaitingFirstByte holds the requests without a first byte.
	awaitingFirstByte map[*Slot]struct{}
	// admittedCold holds the requests that began in the present cold phase.
	admittedCold      map[*Slot]struct{}
	workspaceInFlight map[string]int
}

// Request is what the gate decides on.
type Request struct {
	Workspace string
	Priority  int
	// MaxShare bounds, in percent of the limit, what the workspace may hold
	// while the endpoint is contended.
	MaxShare int
}

// Refusal says why the endpoint did not get a request.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Load is the gate's report about the endpoint.
type Load struct {
	InFlight int  `json:"inFlight"`
	Limit    int  `json:"limit"`
	Cold     bool `json:"cold"`
}

// Slot is one admitted request. Its methods may be called from any goroutine.
type Slot struct {
	gate      *Gate
	workspace string
	admitted  time.Time
	once      sync.Once
}

// Admit returns a slot, or the reason for a refusal. The caller must end the
// slot with Release.
func (g *Gate) Admit(request Request) (*Slot, *Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectCold(time.Now())
	if refusal := g.checkLimits(request); refusal != nil {
		return nil, refusal
	}
	slot := &Slot{gate: g, workspace: request.Workspace, admitted: time.Now()}
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

// isCold reports whether the endpoint counts as cold: from its start or its
// last load until its first quick answer, and after every slow one.
func (g *Gate) isCold() bool { return g.cold || !g.warmedUp }

// limit is the number of requests that the endpoint may have now: in a cold
// start, the cold limit on top of what began before it.
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

// detectCold marks the endpoint cold if a request has waited too long for its
// first byte.
func (g *Gate) detectCold(now time.Time) {
	for slot := range g.awaitingFirstByte {
		if now.Sub(slot.admitted) > g.ColdLatency {
			g.markCold()
			return
		}
	}
}

// markCold starts a cold phase. Requests without a first byte count as begun
// in it.
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

// ResetToCold starts a cold phase, after the endpoint was ordered to load.
func (g *Gate) ResetToCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmedUp = false
	g.cold = false
}

// ReportCold tells the gate that the endpoint says it is in cold start.
func (g *Gate) ReportCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.markCold()
}

// Load returns the gate's report.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectCold(time.Now())
	return Load{InFlight: g.inFlight, Limit: g.limit(), Cold: g.isCold()}
}

// assertBounds panics if the endpoint has more work than it bears.
func (g *Gate) assertBounds() {
	if g.isCold() && len(g.admittedCold) > g.ColdLimit {
		panic(fmt.Sprintf("endpoint in cold start has %d requests, its limit is %d", len(g.admittedCold), g.ColdLimit))
	}
	if g.inFlight > g.WarmLimit {
		panic(fmt.Sprintf("endpoint has %d requests, its limit is %d", g.inFlight, g.WarmLimit))
	}
}

// RecordFirstByte tells the gate that the endpoint began to answer. A quick first
// byte ends a cold phase, a slow one starts one.
func (s *Slot) RecordFirstByte() {
	g := s.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, awaiting := g.awaitingFirstByte[s]; !awaiting {
		return
	}
	withinColdLatency := time.Since(s.admitted) <= g.ColdLatency
	if !withinColdLatency {
		g.markCold()
	}
	delete(g.awaitingFirstByte, s)
	if _, wasCold := g.admittedCold[s]; withinColdLatency && wasCold {
		g.markWarm()
	}
}

// markWarm ends a cold phase.
func (g *Gate) markWarm() {
	g.cold = false
	g.warmedUp = true
	clear(g.admittedCold)
}

// RecordFailure tells the gate that the endpoint refused or broke the request.
func (s *Slot) RecordFailure() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.markCold()
}

// Release ends the slot. Further calls do nothing.
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
