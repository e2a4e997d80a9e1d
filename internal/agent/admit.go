package agent

import (
	"fmt"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/pkg/outcome"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	// LoadHeader carries the load report of the admission gate as
	// "inFlight/limit/cold".
	LoadHeader = "Mimosaward-Load"
	// RetryAfterHeader carries the retry-after time in milliseconds.
	RetryAfterHeader = "Mimosaward-Retry-Milliseconds"

	unavailableRetryAfter = 2 * time.Second
	defaultMaxShare       = 100
	defaultPriority       = 1
)

// checkAcceptingRequests returns a refusal if the endpoint accepts no requests
// at all, and the snapshot that the decision is based on.
func (a *Agent) checkAcceptingRequests() (*desiredstate.Snapshot, *admission.Refusal) {
	snapshot := a.base.State.Snapshot()
	refuse := func(reason string) (*desiredstate.Snapshot, *admission.Refusal) {
		return snapshot, &admission.Refusal{Reason: reason, RetryAfter: unavailableRetryAfter}
	}
	self, ok := a.base.Membership.View().Instance(a.base.Self.Name)
	switch {
	case a.drain.Stopping():
		return refuse("the endpoint is leaving")
	case ok && self.Status != membership.Live:
		return refuse("the instance list says that the endpoint is leaving")
	case a.base.Relay.FreshnessStatus() == freshness.Stale:
		return refuse("the agent cannot confirm its configuration")
	case !snapshot.ZoneInService(a.base.Self.AvailabilityZone):
		return refuse("the availability zone is out of service")
	case !snapshot.EndpointAcceptsWork(a.base.Self.Name):
		return refuse("the endpoint takes no work")
	}
	return snapshot, nil
}

// admittedRequest is a request that has been admitted to the endpoint. The
// caller must call release.
type admittedRequest struct {
	agent *Agent
	slot  *admission.Slot
	set   string
	start time.Time
	// priority is the priority of the request's workspace.
	priority int
}

// admit admits or refuses a request. A refusal always means "not run": no byte
// of the request has been sent to the endpoint.
func (a *Agent) admit(c fiber.Ctx) (*admittedRequest, *admission.Refusal) {
	a.transport.Downlink().RecordLiveTraffic(len(c.Body()))
	snapshot, refusal := a.checkAcceptingRequests()
	if refusal != nil {
		return nil, refusal
	}
	if !a.drain.Begin() {
		return nil, &admission.Refusal{Reason: "the endpoint is leaving", RetryAfter: unavailableRetryAfter}
	}
	request := &admittedRequest{agent: a, start: time.Now()}
	if a.servesModel() {
		set, ok := a.served.acquire()
		if !ok {
			a.drain.End()
			return nil, &admission.Refusal{Reason: "the endpoint is loading weights", RetryAfter: unavailableRetryAfter}
		}
		request.set = set.String()
		if requiredSet := c.Get(outcome.WeightSetHeader); requiredSet != "" && requiredSet != request.set {
			request.release()
			return nil, &admission.Refusal{Reason: "the endpoint serves another weight set", RetryAfter: unavailableRetryAfter}
		}
	}
	admissionRequest := newAdmissionRequest(c.Get(outcome.WorkspaceHeader), snapshot)
	slot, refusal := a.gate.Admit(admissionRequest)
	if refusal != nil {
		request.release()
		return nil, refusal
	}
	request.slot, request.priority = slot, admissionRequest.Priority
	return request, nil
}

// newAdmissionRequest returns the admission request of a workspace. A workspace
// that no ticket names gets the default priority and an unlimited share.
func newAdmissionRequest(name string, snapshot *desiredstate.Snapshot) admission.Request {
	workspace, ok := snapshot.Workspace(name)
	if !ok {
		workspace = ticket.Workspace{Priority: defaultPriority, MaxShare: defaultMaxShare}
	}
	return admission.Request{Workspace: string([]byte(name)), Priority: workspace.Priority, MaxShare: workspace.MaxShare}
}

// release releases the admission slot and the weight set of the request, and
// ends it in the drain.
func (r *admittedRequest) release() {
	if r.slot != nil {
		r.slot.Release()
	}
	if r.set != "" {
		r.agent.served.release()
	}
	r.agent.drain.End()
}

// refuse responds with a refusal.
func (a *Agent) refuse(c fiber.Ctx, status int, result outcome.Outcome, refusal admission.Refusal) error {
	a.setLoadHeader(c)
	c.Set(outcome.Header, string(result))
	c.Set(RetryAfterHeader, strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
	return c.Status(status).JSON(outcome.Refusal{
		Outcome: result, Reason: refusal.Reason, RequestID: c.Get(outcome.RequestIDHeader),
		RetryAfterSeconds: int((refusal.RetryAfter + time.Second - 1) / time.Second),
	})
}

func (a *Agent) setLoadHeader(c fiber.Ctx) {
	load := a.gate.Load()
	c.Set(LoadHeader, FormatLoad(load))
}

// FormatLoad encodes a load report for LoadHeader.
func FormatLoad(load admission.Load) string {
	return fmt.Sprintf("%d/%d/%t", load.InFlight, load.Limit, load.Cold)
}

// ParseLoad decodes a load report from LoadHeader.
func ParseLoad(text string) (admission.Load, bool) {
	var load admission.Load
	n, err := fmt.Sscanf(text, "%d/%d/%t", &load.InFlight, &load.Limit, &load.Cold)
	return load, err == nil && n == 3
}
