package gateway

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
)

// logSent logs the endpoint to which the request is sent and the state on which it was
// selected.
func (r *request) logSent(grant *dispatch.Grant, attempt int) {
	r.sentTo.Store(&grant.Endpoint.ID)
	r.sentAt = time.Now()
	decision := grant.Decision
	r.gateway.Log.Emit(event.RequestSent, event.Fields{
		"request": r.clientRequest.ID, "route": r.route.Name, "endpoint": grant.Endpoint.ID, "attempt": attempt,
		"running": decision.Running, "unread": decision.PendingPrefill, "candidates": decision.Candidates, "othersAgeMs": decision.DigestAge.Milliseconds(),
		"expectedMs": decision.PredictedLatency.Milliseconds(), "waitedMs": decision.QueueTime.Milliseconds(), "prompt": r.clientRequest.Inference.PromptTokens,
		"patienceMs": r.clientRequest.Timeout.Milliseconds(), "returned": r.isRetry, "configuration": r.configuration.Version(),
		"limited": decision.Announcement.Limited, "requestRate": decision.Announcement.RequestRate, "grantedBy": decision.Lender,
		"version": decision.ServedVersion, "replacedMs": r.gateway.replacedFor(r.clientRequest.Inference.Model, decision.ServedVersion).Milliseconds(),
		"fingerprint": r.fingerprint, "rank": decision.Rank, "reserved": decision.Reserve, "late": decision.Late,
	})
}

// logFailed logs and counts a failed attempt.
func (r *request) logFailed(grant *dispatch.Grant, failed *failure, attempt int) {
	r.gateway.metrics.recordAttempt(grant, failed.result())
	r.gateway.Log.Emit(event.AttemptFailed, event.Fields{
		"request": r.clientRequest.ID, "endpoint": grant.Endpoint.ID, "attempt": attempt, "ran": failed.mayHaveRun, "sent": failed.sent,
		"error": errorText(failed.err), "afterMs": time.Since(r.arrived).Milliseconds(),
	})
}

// logEnded logs and counts the end of a request that was sent to an endpoint.
func (r *request) logEnded(status int, timeToFirst time.Duration, err error) {
	r.gateway.metrics.recordEnd(r, r.outcome(status, err), timeToFirst)
	r.gateway.Log.Emit(event.RequestEnded, event.Fields{
		"request": r.clientRequest.ID, "status": status, "firstMs": timeToFirst.Milliseconds(), "tookMs": time.Since(r.arrived).Milliseconds(),
		"error": errorText(err), "callerLeft": r.callerLeft(),
	})
}

// logCut logs that the process exits while the request is in flight.
func (r *request) logCut(sinceStop time.Duration) {
	endpoint := ""
	if sentTo := r.sentTo.Load(); sentTo != nil {
		endpoint = *sentTo
	}
	r.gateway.Log.Emit(event.RequestCut, event.Fields{
		"request": r.clientRequest.ID, "endpoint": endpoint, "ageMs": time.Since(r.arrived).Milliseconds(), "sinceStopMs": sinceStop.Milliseconds(),
		"patienceMs": r.clientRequest.Timeout.Milliseconds(), "callerLeft": r.callerLeft(),
	})
}

// logRefused logs and counts a request that the gateway refused.
func (r *request) logRefused(refused *refusal) {
	r.gateway.metrics.recordRefusal(r, refused.reason)
	route := ""
	if r.route != nil {
		route = r.route.Name
	}
	r.gateway.Log.Emit(event.RequestRefused, event.Fields{
		"request": r.clientRequest.ID, "route": route, "status": refused.status, "reason": refused.reason,
		"comeBackMs": refused.retryAfter.Milliseconds(), "afterMs": time.Since(r.arrived).Milliseconds(), "patienceMs": r.clientRequest.Timeout.Milliseconds(),
		"returned": r.isRetry,
	})
}

// outcome returns the outcome of a request that was sent to an endpoint. For a stream, err
// is io.EOF if it ended normally.
func (r *request) outcome(status int, err error) string {
	switch {
	case r.callerLeft():
		return outcomeDisconnected
	case status >= fasthttp.StatusInternalServerError || (err != nil && !errors.Is(err, io.EOF)):
		return outcomeFailed
	default:
		return outcomeServed
	}
}

// result returns the metric label for the failure.
func (f *failure) result() string {
	switch {
	case f.misdirected:
		return attemptMisdirected
	case errors.Is(f.err, errWithdrawn):
		return attemptWithdrawn
	case f.mayHaveRun:
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
