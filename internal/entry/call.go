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

// claimValidity is how long after its claim an attempt may begin to run. It is
// far below the time that claims are remembered, so an attempt that was paused
// never runs after its claim was forgotten.
const claimValidity = 30 * time.Second

// call routes a request to a plain service.
func (e *Entry) call(c fiber.Ctx) error {
	repeatable := isIdempotent(c.Method())
	class := metrics.OnceOnlyUse
	if repeatable {
		class = metrics.IdempotentUse
	}
	r, ok := e.begin(c, class)
	if !ok {
		return r.refuse(c, notRun("the entry is leaving"))
	}
	pool, found := r.snapshot.Pool(c.Params("pool"))
	if !found || pool.Kind != ticket.ServicePool {
		r.finish(outcome.NotRun)
		return r.refuse(c, refusal{status: fiber.StatusNotFound, outcome: outcome.NotRun, reason: "service " + c.Params("pool") + " does not exist"})
	}
	key := c.Get(outcome.KeyHeader)
	if repeatable || key == "" {
		return r.answerCall(c, r.place(c, pool.Name, repeatable))
	}
	return r.callOnce(c, pool.Name, key)
}

// isIdempotent reports whether HTTP lets a method run more than once.
func isIdempotent(method string) bool {
	switch method {
	case fiber.MethodGet, fiber.MethodHead, fiber.MethodPut, fiber.MethodDelete, fiber.MethodOptions:
		return true
	default:
		return false
	}
}

// callResult is a whole answer or a refusal.
type callResult struct {
	result  *idempotency.Result
	refusal refusal
}

// place offers the call to the service's endpoints and reads the answer.
func (r *request) place(c fiber.Ctx, pool string, repeatable bool) callResult {
	r.entry.budget.RecordAttempt()
	o := &offer{request: r, pool: pool, repeatable: repeatable, wait: r.entry.Settings.Routing.AdmissionWait, client: r.entry.onceOnly}
	if repeatable {
		o.client = r.entry.calls
	}
	message := upstream.Request{
		Method: c.Method(), Body: bytes.Clone(c.Body()),
		Headers: map[string]string{
			fiber.HeaderContentType: c.Get(fiber.HeaderContentType),
			outcome.RequestIDHeader: r.id,
			outcome.WorkspaceHeader: r.workspace,
			outcome.KeyHeader:       c.Get(outcome.KeyHeader),
		},
		ForwardedHeaders: upstream.EndToEnd(c.Request().Header.All()),
	}
	got, failure := o.place(message, c.OriginalURL())
	if got == nil {
		return callResult{refusal: failure}
	}
	defer got.close()
	return readAnswer(got)
}

// readAnswer reads the whole answer of an endpoint.
func readAnswer(got *taken) callResult {
	body, err := got.response.ReadBody()
	if err != nil {
		return callResult{refusal: unknown("endpoint " + got.endpoint.Name + " gave no whole answer")}
	}
	return callResult{result: &idempotency.Result{
		Status: got.response.Status(), ContentType: got.response.Header(fiber.HeaderContentType),
		Headers: got.response.EndToEnd(), Body: body,
	}}
}

// answerCall gives the caller the whole answer or the refusal.
func (r *request) answerCall(c fiber.Ctx, got callResult) error {
	if got.result == nil {
		r.finish(got.refusal.outcome)
		return r.refuse(c, got.refusal)
	}
	r.finish(outcome.Done)
	c.Set(outcome.Header, string(outcome.Done))
	c.Set(fiber.HeaderContentType, got.result.ContentType)
	for _, header := range got.result.Headers {
		c.Response().Header.Add(header.Name, header.Value)
	}
	return c.Status(got.result.Status).Send(got.result.Body)
}

// callOnce runs a call with an idempotency key at most once: it runs only if
// the claim of this attempt was stored.
func (r *request) callOnce(c fiber.Ctx, pool, key string) error {
	claim := idempotency.Claim{
		Key: r.workspace + "/" + pool + "/" + key, Attempt: uuid.NewString(), Body: bodyDigest(c),
	}
	claimedAt := time.Now()
	decision := r.entry.claims.Claim(c.Context(), claim)
	if decision.Verdict != idempotency.Run {
		return r.answerCall(c, repeatedCall(decision))
	}
	got := callResult{refusal: notRun("the entry was paused after the claim")}
	if time.Since(claimedAt) < claimValidity {
		got = r.place(c, pool, false)
	}
	r.record(claim, got)
	return r.answerCall(c, got)
}

// bodyDigest identifies what the call asks for.
func bodyDigest(c fiber.Ctx) string {
	return weights.Sum(append([]byte(c.Method()+" "+c.OriginalURL()+"\n"), c.Body()...)).String()[:16]
}

// record stores how the attempt ended. An unknown outcome keeps the key
// claimed for good.
func (r *request) record(claim idempotency.Claim, got callResult) {
	update := idempotency.Update{Key: claim.Key, Attempt: claim.Attempt, Status: idempotency.Done, Result: got.result}
	switch {
	case got.result != nil:
	case got.refusal.outcome == outcome.NotRun:
		update.Status = idempotency.Released
	default:
		r.entry.Log.Emit(event.CallUnknown, event.Fields{"requestId": r.id})
		return
	}
	r.entry.claims.Update(update)
}

// repeatedCall answers a call whose key may not run now.
func repeatedCall(decision idempotency.Decision) callResult {
	switch decision.Verdict {
	case idempotency.Repeated:
		return callResult{result: decision.Result}
	case idempotency.Mismatch:
		return callResult{refusal: refusal{status: fiber.StatusUnprocessableEntity, outcome: outcome.NotRun, reason: "the idempotency key was used for another request"}}
	case idempotency.Unknown:
		return callResult{refusal: refusal{status: fiber.StatusConflict, outcome: outcome.Unknown, reason: "an earlier call with this idempotency key is running or its outcome is unknown", retryAfter: defaultRetry}}
	default:
		return callResult{refusal: notRun("the idempotency key cannot be recorded now")}
	}
}
