package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
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
	r.body.drop()
	body, err := r.readBuffered(a)
	if err != nil {
		a.discard()
		if r.ctx.Err() == nil || r.endpointHung() {
			a.grant.Record(dispatch.Failed)
			r.suspectCrash(a.grant.Endpoint, phaseUnanswered, err)
		}
		r.refuse(possiblyExecuted("answerBroken"))
		return
	}
	if a.response.Status >= fasthttp.StatusInternalServerError {
		a.grant.Record(dispatch.Errored)
	} else {
		a.grant.Record(dispatch.Responded)
	}
	if a.response.Status < fasthttp.StatusMultipleChoices {
		r.recordPartsAnswered()
	}
	if a.response.Status < fasthttp.StatusInternalServerError {
		r.recordAnswered()
	}
	if a.falsePromise() {
		a.finish()
		r.refuse(possiblyExecuted(reasonEndpointError))
		return
	}
	if err := r.sendBody(a, body); err != nil {
		a.discard()
		r.refuse(possiblyExecuted("answerBroken"))
		return
	}
	r.logEnded(a.response.Status, time.Since(r.arrived), nil)
	a.finish()
}

// readBuffered copies the header of an endpoint's response to the response for the client, and
// reads the complete body. The header is copied first, because the parser adds the trailer of a
// chunked body to it.
func (r *request) readBuffered(a *attempt) ([][]byte, error) {
	platform.CopyResponseHeader(&r.httpCtx.Response.Header, a.exchange.Header())
	return a.exchange.ReadBlocks(r.deadline)
}

// reasonEndpointError is the reason for the refusal that replaces an endpoint's error.
const reasonEndpointError = "endpointError"

// falsePromise reports whether the status of an endpoint's error means to callers that the request
// did not run, although the endpoint does not say so.
func (a *attempt) falsePromise() bool {
	if a.response.NotExecuted {
		return false
	}
	switch a.response.Status {
	case fasthttp.StatusRequestTimeout, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// sendWithRetries sends the request to one endpoint after another until one responds. If
// an endpoint may have executed the request, it is sent again only if the route is
// retryable.
func (r *request) sendWithRetries(job *dispatch.Job) (*attempt, *refusal) {
	lastRefusal := notExecuted(dispatch.NoEndpoint, defaultRetryAfter)
	r.gateway.retries.RecordAttempt()
	for attempts, unsent := 0, 0; ; {
		grant, refused := r.acquire(job, attempts)
		if refused != nil {
			if attempts == 0 {
				lastRefusal = refused
			}
			return nil, lastRefusal
		}
		r.grant = grant
		job.Tried = append(job.Tried, grant.Endpoint.ID)
		r.logSent(grant, attempts+1)
		a, failed := r.startAttempt(grant, r.forwardOptions(grant), r.route.Kind == configuration.AtMostOnce)
		if failed == nil && !r.shouldRetry(a) {
			r.gateway.metrics.recordAttempt(grant, attemptAnswered)
			return a, nil
		}
		paid := false
		if failed == nil {
			// The endpoint's error response is returned to the client if no other
			// attempt is allowed.
			if attempts+1 >= r.route.MaxAttempts || !r.gateway.retries.AllowRetry() {
				return a, nil
			}
			paid = true
			a.discard()
			failed = &failure{sent: true, mayHaveRun: true}
		}
		grant.Release()
		r.logFailed(grant, failed, attempts+1)
		lastRefusal = r.recordFailure(grant, failed, lastRefusal)
		if failed.sent && !failed.misdirected {
			attempts++
		} else {
			unsent++
		}
		switch {
		case r.ctx.Err() != nil, failed.mayHaveRun && !r.route.Retryable():
			return nil, lastRefusal
		case attempts >= r.route.MaxAttempts || unsent >= maxUnsentAttempts:
			return nil, lastRefusal
		case r.crashedTooMany():
			return nil, lastRefusal
		case failed.sent && !paid && !r.gateway.retries.AllowRetry():
			return nil, lastRefusal
		}
	}
}

// acquire waits for an endpoint for the job. A request with a rejected prompt part is
// refused, also if the part became rejected while the job waited.
func (r *request) acquire(job *dispatch.Job, attempts int) (*dispatch.Grant, *refusal) {
	if refused := r.checkQuarantine(attempts); refused != nil {
		return nil, refused
	}
	grant, refused := r.gateway.federation.Acquire(r.ctx, job)
	if grant == nil {
		return nil, notExecuted(refused.Reason, refused.RetryAfter)
	}
	if refused := r.checkQuarantine(attempts); refused != nil {
		grant.Release()
		return nil, refused
	}
	return grant, nil
}

// recordFailure records a failed attempt with the dispatcher and returns the refusal to send
// to the client if no other attempt follows.
func (r *request) recordFailure(grant *dispatch.Grant, failed *failure, lastRefusal *refusal) *refusal {
	switch {
	case r.ctx.Err() != nil:
		if r.endpointHung() {
			grant.Record(dispatch.Failed)
		}
		if failed.mayHaveRun {
			return possiblyExecuted("canceled")
		}
		return lastRefusal
	case errors.Is(failed.err, errWithdrawn) && !failed.sent:
		return lastRefusal
	case errors.Is(failed.err, errWithdrawn):
		grant.Record(dispatch.Unresponsive)
		return possiblyExecuted("withdrawn")
	case failed.mayHaveRun:
		grant.Record(dispatch.Failed)
		r.suspectCrash(grant.Endpoint, phaseUnanswered, failed.err)
		return possiblyExecuted("endpointFailed")
	case failed.misdirected:
		grant.Record(dispatch.Misdirected)
		return lastRefusal.unlessExecuted(notExecuted(dispatch.NoEndpoint, defaultRetryAfter))
	case failed.sent:
		grant.Record(dispatch.Refused)
		return lastRefusal.unlessExecuted(notExecuted(dispatch.Overloaded, defaultRetryAfter))
	default:
		grant.Record(dispatch.Failed)
		return lastRefusal
	}
}

// hungFactor is the multiple of the route's target latency without a response after which an
// endpoint counts as failed although its caller left.
const hungFactor = 1.5

// endpointHung reports whether the caller left after it had waited much longer than the
// route's target latency. An attempt that was aborted earlier, or by the gateway's own stop,
// says nothing about its endpoint.
func (r *request) endpointHung() bool {
	return r.callerLeft() && time.Since(r.sentAt) > time.Duration(hungFactor*float64(r.route.TargetLatency))
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
