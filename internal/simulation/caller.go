package simulation

import (
	"context"
	"strconv"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/emulator"
)

// request is a caller's request with the state that spans its attempts.
type request struct {
	kind         Kind
	zone         int
	promptTokens int
	answerTokens int
	start        time.Time
	refusals     int
	// leaves is true for a request whose caller leaves, which has no outcome.
	leaves bool
}

// maxEventInterval is the longest interval between two events of a response that counts as
// in time.
const maxEventInterval = 400 * time.Millisecond

// runRequest simulates a caller, which sends a request to a gateway in its zone and retries
// at most once after a refusal.
func (r *Run) runRequest(ctx context.Context, kind Kind, zone int) {
	req := &request{kind: kind, zone: zone, promptTokens: r.sampleTokens(kind.PromptTokens), answerTokens: r.sampleTokens(kind.AnswerTokens), start: time.Now()}
	for {
		refusal := r.attempt(ctx, req)
		if refusal == nil {
			return
		}
		req.refusals++
		remaining := callerTimeout - time.Since(req.start)
		if req.refusals > 1 || remaining <= 0 {
			r.recordOutcome(req, outcomeRefused)
			return
		}
		concurrency.Sleep(ctx, min(refusal.RetryAfter, remaining/3))
	}
}

// pickGateway returns a random gateway in a zone.
func (r *Run) pickGateway(zone int) *gateway {
	var candidates []*gateway
	for _, g := range r.gateways {
		if g.zone == zone {
			candidates = append(candidates, g)
		}
	}
	return candidates[int(r.uniform(float64(len(candidates))))]
}

// attempt sends the request once. It returns nil unless the request is refused.
func (r *Run) attempt(ctx context.Context, req *request) *dispatch.Refusal {
	g := r.pickGateway(req.zone)
	concurrency.Sleep(ctx, r.Site.CallerDelay)
	now := time.Now()
	job := &dispatch.Job{
		Service: service, Model: model, Arrived: now, Deadline: req.start.Add(callerTimeout), TargetTime: now.Add(req.kind.TargetLatency),
		PromptTokens: req.promptTokens, ResponseTokens: req.answerTokens, Priority: req.kind.Priority,
		ID: strconv.FormatInt(r.attempts.Add(1), 16),
	}
	if req.refusals > 0 {
		job.TargetTime = now
	}
	grant, refusal := g.federation.Acquire(ctx, job)
	if grant == nil {
		concurrency.Sleep(ctx, r.Site.CallerDelay)
		return &refusal
	}
	defer grant.Release()
	return r.forward(ctx, g, grant, req)
}

// forward sends the request to the engine of the granted endpoint and receives the response.
// It returns a refusal if the engine's queue is full.
func (r *Run) forward(ctx context.Context, g *gateway, grant *dispatch.Grant, req *request) *dispatch.Refusal {
	host := r.hostByEndpointID(grant.Endpoint.ID)
	delay := r.delay(g.zone, host.zone)
	events := make(chan emulator.Event, req.answerTokens+1)
	engineReq := &emulator.Request{PromptTokens: req.promptTokens, AnswerTokens: req.answerTokens, OnEvent: func(event emulator.Event) { events <- event }}
	concurrency.Sleep(ctx, delay)
	if !host.engine.Submit(engineReq) {
		concurrency.Sleep(ctx, delay)
		grant.Record(dispatch.Refused)
		return &dispatch.Refusal{Reason: dispatch.Overloaded, RetryAfter: time.Second}
	}
	var first, last time.Time
	late := false
	for {
		timeout := time.NewTimer(time.Until(req.start.Add(callerTimeout)))
		select {
		case event := <-events:
			timeout.Stop()
			now := time.Now().Add(delay + r.Site.CallerDelay)
			if first.IsZero() {
				concurrency.Sleep(ctx, delay)
				first = now
				late = first.Sub(req.start) > req.kind.TargetLatency
				grant.Record(dispatch.Responded)
			} else if now.Sub(last) > maxEventInterval {
				late = true
			}
			last = now
			if event.Last {
				r.recordServed(req, first, late)
				return nil
			}
		case <-ctx.Done():
			timeout.Stop()
			host.engine.Cancel(engineReq)
			return nil
		case <-timeout.C:
			host.engine.Cancel(engineReq)
			grant.Record(dispatch.Failed)
			r.recordOutcome(req, outcomeFailed)
			return nil
		}
	}
}

func (r *Run) hostByEndpointID(id string) *engineHost {
	for _, host := range r.engines {
		if host.endpoint.ID == id {
			return host
		}
	}
	panic("endpoint " + id + " does not exist")
}
