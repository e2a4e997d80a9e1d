package simulation

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/emulator"
)

// request is what a caller asks for, over all its attempts.
type request struct {
	kind    Kind
	zone    int
	prompt  int
	answer  int
	start   time.Time
	refused int
}

// maxGap is the longest pause between two events of an answer in time.
const maxGap = 400 * time.Millisecond

// call is a caller: it asks a gateway of its zone, and once more after a refusal.
func (r *Run) call(ctx context.Context, kind Kind, zone int) {
	asked := &request{kind: kind, zone: zone, prompt: r.size(kind.Prompt), answer: r.size(kind.Answer), start: time.Now()}
	for {
		refusal := r.ask(ctx, asked)
		if refusal == nil {
			return
		}
		asked.refused++
		left := patience - time.Since(asked.start)
		if asked.refused > 1 || left <= 0 {
			r.note(asked, outcomeRefused)
			return
		}
		concurrency.Sleep(ctx, min(refusal.RetryAfter, left/3))
	}
}

// pick returns a gateway of a zone.
func (r *Run) pick(zone int) *gateway {
	var near []*gateway
	for _, g := range r.gateways {
		if g.zone == zone {
			near = append(near, g)
		}
	}
	return near[int(r.draw(float64(len(near))))]
}

// ask makes one attempt and returns the refusal, if it was refused.
func (r *Run) ask(ctx context.Context, asked *request) *dispatch.Refusal {
	g := r.pick(asked.zone)
	concurrency.Sleep(ctx, r.Site.CallerDelay)
	now := time.Now()
	job := &dispatch.Job{
		Service: service, Model: model, Arrived: now, Deadline: asked.start.Add(patience), TargetTime: now.Add(asked.kind.TargetLatency),
		PromptTokens: asked.prompt, AnswerTokens: asked.answer, Priority: 1,
	}
	if asked.refused > 0 {
		job.TargetTime = now
	}
	grant, refusal := g.dispatcher.Acquire(ctx, job)
	if refusal != nil {
		concurrency.Sleep(ctx, r.Site.CallerDelay)
		return refusal
	}
	defer grant.Release()
	return r.serve(ctx, g, grant, asked)
}

// serve sends the request to its engine and follows the answer.
func (r *Run) serve(ctx context.Context, g *gateway, grant *dispatch.Grant, asked *request) *dispatch.Refusal {
	target := r.hostOf(grant.Endpoint.ID)
	way := r.delay(g.zone, target.zone)
	events := make(chan emulator.Event, asked.answer+1)
	work := &emulator.Request{Prompt: asked.prompt, Answer: asked.answer, OnEvent: func(event emulator.Event) { events <- event }}
	concurrency.Sleep(ctx, way)
	if !target.emulated.Submit(work) {
		concurrency.Sleep(ctx, way)
		grant.RecordRefusal()
		return &dispatch.Refusal{Reason: dispatch.Overloaded, RetryAfter: time.Second}
	}
	var first, last time.Time
	late := false
	for {
		timeout := time.NewTimer(time.Until(asked.start.Add(patience)))
		select {
		case event := <-events:
			timeout.Stop()
			now := time.Now().Add(way + r.Site.CallerDelay)
			if first.IsZero() {
				concurrency.Sleep(ctx, way)
				first = now
				late = first.Sub(asked.start) > asked.kind.TargetLatency
				grant.RecordAnswer()
			} else if now.Sub(last) > maxGap {
				late = true
			}
			last = now
			if event.Last {
				r.noteServed(asked, first, late)
				return nil
			}
		case <-timeout.C:
			target.emulated.Cancel(work)
			grant.RecordFailure()
			r.note(asked, outcomeFailed)
			return nil
		}
	}
}

func (r *Run) hostOf(id string) *host {
	for _, held := range r.engines {
		if held.endpoint.ID == id {
			return held
		}
	}
	panic("endpoint " + id + " does not exist")
}
