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
	// reservedPercent is the part of the limit that each step of priority
	// reserves for the higher priorities.
	reservedPercent = 10
	// Retry hints. A caller leaves the endpoint out for that long, so a hint
	// longer than the reason lasts wastes the endpoint's capacity.
	waitingRetry = 10 * time.Millisecond
	limitRetry   = 30 * time.Millisecond
	coldRetry    = 250 * time.Millisecond
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
	warmed   bool
	inFlight int
	// waiting holds the requests without a first byte.
	waiting map[*Slot]struct{}
	// coldStarted holds the requests that began in the present cold phase.
	coldStarted map[*Slot]struct{}
	workspaces  map[string]int
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
	if refusal := g.check(request); refusal != nil {
		return nil, refusal
	}
	slot := &Slot{gate: g, workspace: request.Workspace, admitted: time.Now()}
	g.add(slot)
	g.assertBounds()
	return slot, nil
}

func (g *Gate) check(request Request) *Refusal {
	limit := g.limit()
	allowed := limit - limit*reservedPercent*(ticket.MaxPriority-request.Priority)/percent
	switch {
	case len(g.waiting) >= g.ColdLimit:
		return &Refusal{Reason: "the endpoint has not begun to answer earlier requests", RetryAfter: waitingRetry}
	case g.isCold() && len(g.coldStarted) >= g.ColdLimit:
		return &Refusal{Reason: "the endpoint is in cold start", RetryAfter: coldRetry}
	case g.inFlight >= max(1, allowed):
		return &Refusal{Reason: "the endpoint is at its limit for this priority", RetryAfter: limitRetry}
	case g.overShare(request, limit):
		return &Refusal{Reason: "the workspace is at its share of the endpoint", RetryAfter: limitRetry}
	}
	return nil
}

func (g *Gate) overShare(request Request, limit int) bool {
	contended := g.inFlight*percent >= limit*contendedPercent
	share := max(1, limit*request.MaxShare/percent)
	return contended && g.workspaces[request.Workspace] >= share
}

// isCold reports whether the endpoint counts as cold: from its start or its
// last load until its first quick answer, and after every slow one.
func (g *Gate) isCold() bool { return g.cold || !g.warmed }

// limit is the number of requests that the endpoint may have now: in a cold
// start, the cold limit on top of what began before it.
func (g *Gate) limit() int {
	if !g.isCold() {
		return g.WarmLimit
	}
	startedWarm := g.inFlight - len(g.coldStarted)
	return min(g.WarmLimit, startedWarm+g.ColdLimit)
}

func (g *Gate) add(slot *Slot) {
	if g.waiting == nil {
		g.waiting = map[*Slot]struct{}{}
		g.coldStarted = map[*Slot]struct{}{}
		g.workspaces = map[string]int{}
	}
	g.inFlight++
	g.waiting[slot] = struct{}{}
	g.workspaces[slot.workspace]++
	if g.isCold() {
		g.coldStarted[slot] = struct{}{}
	}
}

// detectCold marks the endpoint cold if a request has waited too long for its
// first byte.
func (g *Gate) detectCold(now time.Time) {
	for slot := range g.waiting {
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
	for slot := range g.waiting {
		g.coldStarted[slot] = struct{}{}
	}
	if g.OnCold != nil {
		g.OnCold()
	}
}

// ResetToCold starts a cold phase, after the endpoint was ordered to load.
func (g *Gate) ResetToCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warmed = false
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
	if g.isCold() && len(g.coldStarted) > g.ColdLimit {
		panic(fmt.Sprintf("endpoint in cold start has %d requests, its limit is %d", len(g.coldStarted), g.ColdLimit))
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
	if _, waiting := g.waiting[s]; !waiting {
		return
	}
	quick := time.Since(s.admitted) <= g.ColdLatency
	if !quick {
		g.markCold()
	}
	delete(g.waiting, s)
	if _, startedCold := g.coldStarted[s]; quick && startedCold {
		g.markWarm()
	}
}

// markWarm ends a cold phase.
func (g *Gate) markWarm() {
	g.cold = false
	g.warmed = true
	clear(g.coldStarted)
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
		delete(g.waiting, s)
		g.inFlight--
		if g.workspaces[s.workspace]--; g.workspaces[s.workspace] <= 0 {
			delete(g.workspaces, s.workspace)
		}
		delete(g.coldStarted, s)
	})
}
