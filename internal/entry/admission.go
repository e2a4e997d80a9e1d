package entry

import (
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/metrics"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

const (
	defaultRetryAfter = time.Second
	// defaultWorkspace is the workspace of requests that name none.
	defaultWorkspace = "default"
)

// request is a caller's request with the configuration that it was admitted
// with, so that its handler uses one consistent snapshot.
type request struct {
	entry     *Entry
	id        string
	workspace string
	class     metrics.Class
	start     time.Time
	snapshot  *desiredstate.Snapshot
	view      *membership.View
}

// begin admits a caller's request. It reports false if the entry no longer
// accepts requests.
func (e *Entry) begin(c fiber.Ctx, class metrics.Class) (*request, bool) {
	r := &request{
		entry: e, id: c.Get(outcome.RequestIDHeader), workspace: c.Get(outcome.WorkspaceHeader), class: class,
		start: time.Now(), snapshot: e.base.State.Snapshot(), view: e.base.Membership.View(),
	}
	if r.id == "" {
		r.id = uuid.NewString()
	}
	if r.workspace == "" {
		r.workspace = defaultWorkspace
	}
	c.Set(outcome.RequestIDHeader, r.id)
	if e.drain.Stopping() {
		// Closing the connection makes the caller request new addresses.
		c.Set(fiber.HeaderConnection, "close")
	}
	return r, e.drain.Begin()
}

// finish ends the request and records its outcome and duration.
func (r *request) finish(result outcome.Outcome) {
	r.entry.drain.End()
	r.entry.base.Metrics.ObserveRequest(r.workspaceLabel(), r.class, string(result), time.Since(r.start))
}

// workspaceLabel returns the metric label of the request's workspace. Only
// workspaces that a ticket names have a label of their own.
func (r *request) workspaceLabel() string {
	if _, ok := r.snapshot.Workspace(r.workspace); ok {
		return r.workspace
	}
	return metrics.OtherWorkspace
}

// refusal describes why a request has no complete response.
type refusal struct {
	status     int
	outcome    outcome.Outcome
	reason     string
	retryAfter time.Duration
}

func notRun(reason string) refusal {
	return refusal{status: fiber.StatusServiceUnavailable, outcome: outcome.NotRun, reason: reason, retryAfter: defaultRetryAfter}
}

func unknownOutcome(reason string) refusal {
	return refusal{status: fiber.StatusBadGateway, outcome: outcome.Unknown, reason: reason, retryAfter: defaultRetryAfter}
}

// refuse responds with a refusal.
func (r *request) refuse(c fiber.Ctx, refusal refusal) error {
	body := r.refusalBody(refusal)
	c.Set(outcome.Header, string(refusal.outcome))
	c.Set(fiber.HeaderRetryAfter, strconv.Itoa(body.RetryAfterSeconds))
	return c.Status(refusal.status).JSON(body)
}

func (r *request) refusalBody(refusal refusal) outcome.Refusal {
	return outcome.Refusal{
		Outcome: refusal.outcome, Reason: refusal.reason, RequestID: r.id,
		RetryAfterSeconds: int((refusal.retryAfter + time.Second - 1) / time.Second),
	}
}
