package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/platform"
)

// refusal is an error response that the gateway generates itself.
type refusal struct {
	status int
	reason string
	// retryAfter is the delay after which the client should retry; 0 if it should not
	// retry.
	retryAfter time.Duration
}

// notExecuted returns a refusal of a request that certainly was not executed and never
// will be.
func notExecuted(reason dispatch.Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(reason), retryAfter: retryAfter}
}

// possiblyExecuted returns a refusal of a request that may have been executed.
func possiblyExecuted(reason string) *refusal {
	return &refusal{status: fasthttp.StatusBadGateway, reason: reason}
}

// unlessExecuted returns next, which is the refusal of a later attempt, unless an earlier
// attempt may have been executed.
func (r *refusal) unlessExecuted(next *refusal) *refusal {
	if r.status == fasthttp.StatusServiceUnavailable {
		return next
	}
	return r
}

// refuse logs a refusal and sends it to the client.
func (r *request) refuse(refused *refusal) {
	r.logRefused(refused)
	r.httpCtx.Response.Reset()
	platform.SetRefusal(&r.httpCtx.Response.Header, refused.status, r.clientRequest.ID, refused.retryAfter)
	r.httpCtx.Response.Header.SetContentType("text/plain; charset=utf-8")
	r.httpCtx.Response.SetBodyString(refused.reason + "\n")
}
