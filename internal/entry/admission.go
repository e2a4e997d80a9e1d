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
	// defaultWorkspace is used for requests that name none.
	defaultWorkspace = "default"
)

// request is one caller's request with the configuration it was admitted
// with: a handler sees one consistent snapshot from begin to end.
type request struct {
	entry     *Entry
	id        string
	workspace string
	class     metrics.Class
	start     time.Time
	snapshot  *desiredstate.Snapshot
	view      *membership.View
}

// begin admits a caller's request, or answers that the entry is leaving.
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
		// Callers on this connection ask for new addresses.
		c.Set(fiber.HeaderConnection, "close")
	}
	return r, e.drain.Begin()
}

// finish counts the request's end.
func (r *request) finish(result outcome.Outcome) {
	r.entry.drain.End()
	r.entry.base.Metrics.ObserveRequest(r.workspaceLabel(), r.class, string(result), time.Since(r.start))
}

// label returns the workspace as a metric label: only workspaces that a ticket
// names have one of their own.
func (r *request) workspaceLabel() string {
	if _, ok := r.snapshot.Workspace(r.workspace); ok {
		return r.workspace
	}
	return metrics.OtherWorkspace
}

// refusal is an answer that is not whole.
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

// refuse answers with a refusal.
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
