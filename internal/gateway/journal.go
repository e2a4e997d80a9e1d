package gateway

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
)

// logSent tells which endpoint got the request and on what that was decided.
func (f *flight) logSent(grant *dispatch.Grant, attempt int) {
	facts := grant.Decision
	f.gateway.Log.Emit(event.RequestSent, event.Fields{
		"request": f.call.ID, "route": f.route.Name, "endpoint": grant.Endpoint.ID, "attempt": attempt,
		"running": facts.Running, "unread": facts.PendingPrefill, "candidates": facts.Candidates, "othersAgeMs": facts.DigestAge.Milliseconds(),
		"expectedMs": facts.PredictedLatency.Milliseconds(), "waitedMs": facts.QueueTime.Milliseconds(), "prompt": f.call.Inference.PromptTokens,
		"patienceMs": f.call.Timeout.Milliseconds(), "returned": f.returned, "configuration": f.configuration.Version(),
	})
}

// logFailed tells how an attempt failed.
func (f *flight) logFailed(grant *dispatch.Grant, failed *failure, attempt int) {
	f.gateway.meter.attempted(grant, failed.result())
	f.gateway.Log.Emit(event.AttemptFailed, event.Fields{
		"request": f.call.ID, "endpoint": grant.Endpoint.ID, "attempt": attempt, "ran": failed.ran, "sent": failed.sent,
		"error": errorText(failed.err), "afterMs": time.Since(f.arrived).Milliseconds(),
	})
}

// logEnded tells how the request ended.
func (f *flight) logEnded(status int, firstAfter time.Duration, err error) {
	f.gateway.meter.ended(f, f.outcome(status, err), firstAfter)
	f.gateway.Log.Emit(event.RequestEnded, event.Fields{
		"request": f.call.ID, "status": status, "firstMs": firstAfter.Milliseconds(), "tookMs": time.Since(f.arrived).Milliseconds(),
		"error": errorText(err), "callerLeft": f.ctx.Err() != nil,
	})
}

// logRefused tells why the gateway did not serve the request.
func (f *flight) logRefused(what *refusal) {
	f.gateway.meter.refused(f, what.reason)
	route := ""
	if f.route != nil {
		route = f.route.Name
	}
	f.gateway.Log.Emit(event.RequestRefused, event.Fields{
		"request": f.call.ID, "route": route, "status": what.status, "reason": what.reason,
		"comeBackMs": what.comeBack.Milliseconds(), "afterMs": time.Since(f.arrived).Milliseconds(), "patienceMs": f.call.Timeout.Milliseconds(),
		"returned": f.returned,
	})
}

// outcome says how a request that was sent ended. A stream ends with io.EOF.
func (f *flight) outcome(status int, err error) string {
	switch {
	case f.ctx.Err() != nil:
		return outcomeLeft
	case status >= fasthttp.StatusInternalServerError || (err != nil && !errors.Is(err, io.EOF)):
		return outcomeFailed
	default:
		return outcomeServed
	}
}

// result names how the attempt failed, for the metrics.
func (f *failure) result() string {
	switch {
	case f.misdirected:
		return attemptMisdirected
	case f.ran:
		return attemptFailed
	case f.sent:
		return attemptRefused
	default:
		return attemptUnsent
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
