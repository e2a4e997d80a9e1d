package entry

import (
	"bytes"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/idempotency"
	"github.com/mimosaward/mimosaward/internal/metrics"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/internal/weights"
	"github.com/mimosaward/mimosaward/pkg/outcome"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// claimValidity is the time after the claim within which an attempt may start.
// It is far shorter than the retention time of claims, so an attempt whose
// process was paused never runs after its claim has expired.
const claimValidity = 30 * time.Second

// handleCall routes a request to the endpoints of a service pool.
func (e *Entry) handleCall(c fiber.Ctx) error {
	retryable := isIdempotentMethod(c.Method())
	class := metrics.NonIdempotentCall
	if retryable {
		class = metrics.IdempotentCall
	}
	r, ok := e.begin(c, class)
	if !ok {
		return r.refuse(c, notRun("the entry is leaving"))
	}
	pool, exists := r.snapshot.Pool(c.Params("pool"))
	if !exists || pool.Kind != ticket.ServicePool {
		r.finish(outcome.NotRun)
		return r.refuse(c, refusal{status: fiber.StatusNotFound, outcome: outcome.NotRun, reason: "service " + c.Params("pool") + " does not exist"})
	}
	key := c.Get(outcome.IdempotencyKeyHeader)
	if retryable || key == "" {
		return r.sendResult(c, r.callEndpoint(c, pool.Name, retryable))
	}
	return r.callAtMostOnce(c, pool.Name, key)
}

// isIdempotentMethod reports whether HTTP allows a request with the method to
// run more than once.
func isIdempotentMethod(method string) bool {
	switch method {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodPut, fiber.MethodDelete, fiber.MethodOptions:
		return true
	default:
		return false
	}
}

// callResult is a complete response or a refusal.
type callResult struct {
	response *idempotency.Result
	refusal  refusal
}

// callEndpoint forwards the call to an endpoint of the service and reads the
// response.
func (r *request) callEndpoint(c fiber.Ctx, pool string, retryable bool) callResult {
	r.entry.budget.RecordAttempt()
	f := &forwarder{request: r, pool: pool, retryable: retryable, timeout: r.entry.Settings.Routing.AdmissionTimeout, client: r.entry.atMostOnceClient}
	if retryable {
		f.client = r.entry.callClient
	}
	upstreamRequest := upstream.Request{
		Method: c.Method(), Body: bytes.Clone(c.Body()),
		Headers: map[string]string{
			fiber.HeaderContentType:      c.Get(fiber.HeaderContentType),
			outcome.RequestIDHeader:      r.id,
			outcome.WorkspaceHeader:      r.workspace,
			outcome.IdempotencyKeyHeader: c.Get(outcome.IdempotencyKeyHeader),
		},
		ForwardedHeaders: upstream.EndToEnd(c.Request().Header.All()),
	}
	accepted, failure := f.forward(upstreamRequest, c.OriginalURL())
	if accepted == nil {
		return callResult{refusal: failure}
	}
	defer accepted.close()
	return readResponse(accepted)
}

// readResponse reads the complete response of an endpoint.
func readResponse(accepted *exchange) callResult {
	body, err := accepted.response.ReadBody()
	if err != nil {
		return callResult{refusal: unknownOutcome("endpoint " + accepted.endpoint.Name + " gave no whole answer")}
	}
	return callResult{response: &idempotency.Result{
		Status: accepted.response.Status(), ContentType: accepted.response.Header(fiber.HeaderContentType),
		Headers: accepted.response.EndToEnd(), Body: body,
	}}
}

// sendResult sends the complete response or the refusal to the caller.
func (r *request) sendResult(c fiber.Ctx, result callResult) error {
	if result.response == nil {
		r.finish(result.refusal.outcome)
		return r.refuse(c, result.refusal)
	}
	r.finish(outcome.Done)
	c.Set(outcome.Header, string(outcome.Done))
	c.Set(fiber.HeaderContentType, result.response.ContentType)
	for _, header := range result.response.Headers {
		c.Response().Header.Add(header.Name, header.Value)
	}
	return c.Status(result.response.Status).Send(result.response.Body)
}

// callAtMostOnce runs a call with an idempotency key at most once: it forwards
// the call only if the claim of this attempt was stored.
func (r *request) callAtMostOnce(c fiber.Ctx, pool, key string) error {
	claim := idempotency.Claim{
		Key: r.workspace + "/" + pool + "/" + key, Attempt: uuid.NewString(), Body: requestDigest(c),
	}
	claimedAt := time.Now()
	decision := r.entry.claims.Claim(c.Context(), claim)
	if decision.Verdict != idempotency.Run {
		return r.sendResult(c, decisionResult(decision))
	}
	result := callResult{refusal: notRun("the entry was paused after the claim")}
	if time.Since(claimedAt) < claimValidity {
		result = r.callEndpoint(c, pool, false)
	}
	r.recordOutcome(claim, result)
	return r.sendResult(c, result)
}

// requestDigest returns a digest of the call's method, URL and body.
func requestDigest(c fiber.Ctx) string {
	return weights.Sum(append([]byte(c.Method()+" "+c.OriginalURL()+"\n"), c.Body()...)).String()[:16]
}

// recordOutcome stores the outcome of the attempt. After an unknown outcome the
// key stays claimed.
func (r *request) recordOutcome(claim idempotency.Claim, result callResult) {
	update := idempotency.Update{Key: claim.Key, Attempt: claim.Attempt, Status: idempotency.Done, Result: result.response}
	switch {
	case result.response != nil:
	case result.refusal.outcome == outcome.NotRun:
		update.Status = idempotency.Released
	default:
		r.entry.Log.Emit(event.OutcomeUnknown, event.Fields{"requestId": r.id})
		return
	}
	r.entry.claims.Update(update)
}

// decisionResult returns the result of a call that the decision does not allow
// to run.
func decisionResult(decision idempotency.Decision) callResult {
	switch decision.Verdict {
	case idempotency.Repeated:
		return callResult{response: decision.Result}
	case idempotency.Mismatch:
		return callResult{refusal: refusal{status: fiber.StatusUnprocessableEntity, outcome: outcome.NotRun, reason: "the idempotency key was used for another request"}}
	case idempotency.Unknown:
		return callResult{refusal: refusal{status: fiber.StatusConflict, outcome: outcome.Unknown, reason: "an earlier call with this idempotency key is running or its outcome is unknown", retryAfter: defaultRetryAfter}}
	default:
		return callResult{refusal: notRun("the idempotency key cannot be recorded now")}
	}
}
