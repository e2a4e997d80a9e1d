package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/platform"
)

// maxUnsent bounds how often a request is offered to endpoints that cannot be reached or
// are others than meant; these offers are no attempts.
const maxUnsent = 4

// servePlain answers a request of a plain service with the whole answer of an
// endpoint, or refuses it.
func (f *flight) servePlain() {
	defer f.end()
	got, refused := f.place(f.job(f.route.PickTarget(rand.Float64())))
	if refused != nil {
		f.refuse(refused)
		return
	}
	defer got.grant.Release()
	body, err := got.exchange.ReadAll(f.deadline)
	if err != nil {
		got.discard()
		got.grant.RecordFailure()
		f.refuse(unknown("answerBroken"))
		return
	}
	if got.answer.Status >= fasthttp.StatusInternalServerError {
		got.grant.RecordError()
	} else {
		got.grant.RecordAnswer()
	}
	platform.WriteAnswer(&f.http.Response.Header, got.exchange.Header())
	f.http.Response.SetBody(body)
	f.logEnded(got.answer.Status, time.Since(f.arrived), nil)
	got.finish()
}

// place sends the request to one endpoint after the other until one answers it.
// After an attempt that may have run only a repeatable request is sent again.
func (f *flight) place(job *dispatch.Job) (*attempt, *refusal) {
	last := notRun(dispatch.NoEndpoint, startRetry)
	for attempts, unsent := 0, 0; ; {
		grant, refused := f.gateway.dispatcher.Acquire(f.ctx, job)
		if refused != nil {
			if attempts == 0 {
				last = notRun(refused.Reason, refused.RetryAfter)
			}
			return nil, last
		}
		job.Tried = append(job.Tried, grant.Endpoint.ID)
		f.logSent(grant, attempts+1)
		got, failed := f.start(grant, f.forwarding(grant), f.route.Kind == configuration.AtMostOnce)
		if failed == nil && !f.worthRetry(got) {
			f.gateway.meter.attempted(grant, attemptAnswered)
			return got, nil
		}
		if failed == nil {
			// An answer that says that the endpoint failed is the last word if nobody
			// else can be asked.
			if attempts+1 >= f.route.MaxAttempts || !f.gateway.retries.AllowRetry() {
				return got, nil
			}
			got.discard()
			failed = &failure{sent: true, ran: true}
		}
		grant.Release()
		f.logFailed(grant, failed, attempts+1)
		last = f.note(grant, failed, last)
		if failed.sent && !failed.misdirected {
			attempts++
		} else {
			unsent++
		}
		switch {
		case failed.ran && !f.route.Retryable():
			return nil, last
		case attempts >= f.route.MaxAttempts || unsent >= maxUnsent:
			return nil, last
		case failed.sent && !f.gateway.retries.AllowRetry():
			return nil, last
		}
	}
}

// note tells the dispatcher how an attempt failed, and returns what to tell the caller
// if no other one follows.
func (f *flight) note(grant *dispatch.Grant, failed *failure, last *refusal) *refusal {
	switch {
	case failed.ran:
		grant.RecordFailure()
		return unknown("endpointFailed")
	case failed.misdirected:
		grant.RecordMisdirected()
		return notRun(dispatch.NoEndpoint, startRetry)
	case failed.sent:
		grant.RecordRefusal()
		return notRun(dispatch.Overloaded, startRetry)
	default:
		grant.RecordFailure()
		return last
	}
}

// worthRetry reports whether an endpoint failed a request that another one may
// answer.
func (f *flight) worthRetry(got *attempt) bool {
	return f.route.Retryable() && got.answer.Status >= fasthttp.StatusInternalServerError
}

// forwarding says what the endpoint is told.
func (f *flight) forwarding(grant *dispatch.Grant) platform.Forwarding {
	forwarding := platform.Forwarding{
		Left: f.left(), Endpoint: grant.Endpoint.ID, Priority: -1, LastEventID: f.call.LastEventID, Version: grant.Version,
	}
	if f.workspace != nil {
		forwarding.Workspace = f.workspace.Name
	}
	if f.route.Kind == configuration.Stream {
		forwarding.Priority = f.priority()
	}
	return forwarding
}
