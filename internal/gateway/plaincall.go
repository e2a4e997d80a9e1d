package gateway

import (
	"math/rand/v2"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/platform"
)

// maxUnsent bounds how often a request is offered to endpoints that cannot be
// reached; these offers are no attempts.
const maxUnsent = 4

// servePlain answers a request of a plain service with the whole answer of an
// endpoint, or refuses it.
func (f *flight) servePlain() {
	defer f.end()
	got, refused := f.place()
	if refused != nil {
		f.refuse(refused)
		return
	}
	defer got.grant.End()
	body, err := got.exchange.ReadAll(f.deadline)
	if err != nil {
		got.discard()
		got.grant.Failed(failurePause)
		f.refuse(unknown("answerBroken"))
		return
	}
	platform.WriteAnswer(&f.http.Response.Header, got.exchange.Header())
	f.http.Response.SetBody(body)
	got.finish()
}

// place sends the request to one endpoint after the other until one answers it.
// After an attempt that may have run only a repeatable request is sent again.
func (f *flight) place() (*attempt, *refusal) {
	job := f.job(f.route.Target(rand.Float64()))
	last := notRun(dispatch.NoEndpoint, startRetry)
	for attempts, unsent := 0, 0; attempts < f.route.MaxAttempts && unsent < maxUnsent; {
		grant, refused := f.gateway.dispatcher.Acquire(f.ctx, job)
		if refused != nil {
			if attempts == 0 {
				return nil, notRun(refused.Reason, refused.ComeBack)
			}
			return nil, last
		}
		got, failed := f.start(grant, f.forwarding(grant), f.route.Kind == configuration.OnceOnly)
		if failed == nil {
			if f.worthRetry(got) && attempts+1 < f.route.MaxAttempts && f.gateway.retries.Retry() {
				job.Tried = append(job.Tried, grant.Endpoint.ID)
				got.discard()
				grant.End()
				attempts++
				last = unknown("endpointFailed")
				continue
			}
			return got, nil
		}
		grant.End()
		job.Tried = append(job.Tried, grant.Endpoint.ID)
		if failed.sent {
			attempts++
		} else {
			unsent++
		}
		switch {
		case failed.ran:
			grant.Failed(failurePause)
			last = unknown("endpointFailed")
			if !f.route.Repeatable() {
				return nil, last
			}
		case failed.sent:
			grant.Failed(refusedPause)
			last = notRun(dispatch.Overloaded, startRetry)
		default:
			grant.Failed(failurePause)
		}
		if failed.sent && !f.gateway.retries.Retry() {
			return nil, last
		}
	}
	return nil, last
}

// worthRetry reports whether an endpoint failed a request that another one may
// answer.
func (f *flight) worthRetry(got *attempt) bool {
	return f.route.Repeatable() && got.answer.Status >= fasthttp.StatusInternalServerError
}

// forwarding says what the endpoint is told.
func (f *flight) forwarding(grant *dispatch.Grant) platform.Forwarding {
	forwarding := platform.Forwarding{
		Left: f.left(), Endpoint: grant.Endpoint.ID, Priority: -1, LastEventID: f.call.LastEventID,
	}
	if f.workspace != nil {
		forwarding.Workspace = f.workspace.Name
	}
	if f.route.Kind == configuration.Stream {
		forwarding.Priority = f.priority()
	}
	return forwarding
}
