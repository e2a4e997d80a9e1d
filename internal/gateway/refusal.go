package gateway

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/platform"
)

// refusal is an answer that the gateway gives itself.
type refusal struct {
	status int
	reason string
	// retryAfter is when to try again; 0 if that makes no sense.
	retryAfter time.Duration
}

// notExecuted is a refusal of a request that certainly did not run and never will.
func notExecuted(reason dispatch.Reason, retryAfter time.Duration) *refusal {
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(reason), retryAfter: retryAfter}
}

// possiblyExecuted is a refusal of a request that may have run.
func possiblyExecuted(reason string) *refusal {
	return &refusal{status: fasthttp.StatusBadGateway, reason: reason}
}

// refuse answers with a refusal.
func (r *request) refuse(refused *refusal) {
	r.logRefused(refused)
	r.httpCtx.Response.Reset()
	platform.WriteRefusal(&r.httpCtx.Response.Header, refused.status, r.clientRequest.ID, refused.retryAfter)
	r.httpCtx.Response.Header.SetContentType("text/plain; charset=utf-8")
	r.httpCtx.Response.SetBodyString(refused.reason + "\n")
}
