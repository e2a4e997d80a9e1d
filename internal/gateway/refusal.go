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
	// comeBack is when to try again; 0 if that makes no sense.
	comeBack time.Duration
}

// notRun is a refusal of a request that certainly did not run and never will.
func notRun(reason dispatch.Reason, comeBack time.Duration) *refusal {
	return &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(reason), comeBack: comeBack}
}

// unknown is a refusal of a request that may have run.
func unknown(reason string) *refusal {
	return &refusal{status: fasthttp.StatusBadGateway, reason: reason}
}

// refuse answers with a refusal.
func (f *flight) refuse(what *refusal) {
	f.logRefused(what)
	f.http.Response.Reset()
	platform.SetRefusal(&f.http.Response.Header, what.status, f.call.ID, what.comeBack)
	f.http.Response.Header.SetContentType("text/plain; charset=utf-8")
	f.http.Response.SetBodyString(what.reason + "\n")
}
