package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/platform"
)

// maxUnsentAttempts is the maximum number of attempts of a request that fail because the
// endpoint is unreachable or another endpoint responds at its address. These attempts do
// not count towards the route's MaxAttempts.
const maxUnsentAttempts = 4

// serveBuffered serves a request of a route without streaming: it reads the complete
// response of an endpoint and returns it to the client, or refuses the request.
func (r *request) serveBuffered() {
	defer r.end()
	a, refused := r.sendWithRetries(r.newJob(r.route.PickTarget(rand.Float64())))
	if refused != nil {
		r.refuse(refused)
		return
	}
	defer a.grant.Release()
	body, err := a.exchange.ReadAll(r.deadline)
	if err != nil {
		a.discard()
		a.grant.Record(dispatch.Failed)
		r.refuse(possiblyExecuted("answerBroken"))
		return
	}
	if a.response.Status >= fasthttp.StatusInternalServerError {
		a.grant.Record(dispatch.Errored)
	} else {
		a.grant.Record(dispatch.Responded)
	}
	platform.CopyResponseHeader(&r.httpCtx.Response.Header, a.exchange.Header())
	r.httpCtx.Response.SetBody(body)
	r.logEnded(a.response.Status, time.Since(r.arrived), nil)
	a.finish()
}

// sendWithRetries sends the request to one endpoint after another until one responds. If
// an endpoint may have executed the request, it is sent again only if the route is
// retryable.
func (r *request) sendWithRetries(job *dispatch.Job) (*attempt, *refusal) {
	lastRefusal := notExecuted(dispatch.NoEndpoint, defaultRetryAfter)
	for attempts, unsent := 0, 0; ; {
		grant, refused := r.gateway.federation.Acquire(r.ctx, job)
		if grant == nil {
			if attempts == 0 {
				lastRefusal = notExecuted(refused.Reason, refused.RetryAfter)
			}
			return nil, lastRefusal
		}
		r.grant = grant
		job.Tried = append(job.Tried, grant.Endpoint.ID)
		r.logSent(grant, attempts+1)
		sentAt := time.Now()
		a, failed := r.startAttempt(grant, r.forwardOptions(grant), r.route.Kind == configuration.AtMostOnce)
		if failed == nil && !r.shouldRetry(a) {
			r.gateway.metrics.recordAttempt(grant, attemptAnswered)
			return a, nil
		}
		if failed == nil {
			// The endpoint's error response is returned to the client if no other
			// attempt is allowed.
			if attempts+1 >= r.route.MaxAttempts || !r.gateway.retries.AllowRetry() {
				return a, nil
			}
			a.discard()
			failed = &failure{sent: true, mayHaveRun: true}
		}
		grant.Release()
		r.logFailed(grant, failed, attempts+1)
		if r.ctx.Err() != nil && time.Since(sentAt) < grant.Decision.PredictedLatency {
			// The endpoint was not yet expected to respond, so this is no failure of it.
			return nil, r.leftRefusal()
		}
		lastRefusal = r.recordFailure(grant, failed, lastRefusal)
		if failed.sent && !failed.misdirected {
			attempts++
		} else {
			unsent++
		}
		switch {
		case failed.mayHaveRun && !r.route.Retryable():
			return nil, lastRefusal
		case attempts >= r.route.MaxAttempts || unsent >= maxUnsentAttempts:
			return nil, lastRefusal
		case failed.sent && !r.gateway.retries.AllowRetry():
			return nil, lastRefusal
		}
	}
}

// leftRefusal returns the refusal of a request whose client disconnected. Nobody receives it,
// but it is logged.
func (r *request) leftRefusal() *refusal {
	if r.mayHaveRun {
		return possiblyExecuted(string(dispatch.ClientDisconnected))
	}
	return notExecuted(dispatch.ClientDisconnected, defaultRetryAfter)
}

// recordFailure records a failed attempt with the dispatcher and returns the refusal to send
// to the client if no other attempt follows.
func (r *request) recordFailure(grant *dispatch.Grant, failed *failure, lastRefusal *refusal) *refusal {
	switch {
	case failed.mayHaveRun:
		grant.Record(dispatch.Failed)
		return possiblyExecuted("endpointFailed")
	case failed.misdirected:
		grant.Record(dispatch.Misdirected)
		return notExecuted(dispatch.NoEndpoint, defaultRetryAfter)
	case failed.sent:
		grant.Record(dispatch.Refused)
		return notExecuted(dispatch.Overloaded, defaultRetryAfter)
	default:
		grant.Record(dispatch.Failed)
		return lastRefusal
	}
}

// shouldRetry reports whether the endpoint responded with a server error to a request that
// may be retried.
func (r *request) shouldRetry(a *attempt) bool {
	return r.route.Retryable() && a.response.Status >= fasthttp.StatusInternalServerError
}

// forwardOptions returns the values that the gateway sets in the forwarded request's header.
func (r *request) forwardOptions(grant *dispatch.Grant) platform.ForwardOptions {
	options := platform.ForwardOptions{
		Timeout: r.remaining(), EndpointID: grant.Endpoint.ID, Priority: -1, LastEventID: r.clientRequest.LastEventID, Version: grant.Version,
	}
	if r.workspace != nil {
		options.Workspace = r.workspace.Name
	}
	if r.route.Kind == configuration.Stream {
		options.Priority = r.priority()
	}
	return options
}
