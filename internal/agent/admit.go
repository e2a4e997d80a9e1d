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
	// LoadHeader carries the gate's report as "inFlight/limit/cold".
	LoadHeader = "Mimosaward-Load"
	// RetryHeader carries the retry hint in milliseconds.
	RetryHeader = "Mimosaward-Retry-Milliseconds"

	closedRetry  = 2 * time.Second
	defaultShare = 100
	defaultRank  = 1
)

// closed returns why the endpoint takes no new work at all, and the snapshot
// that the decision was made on.
func (a *Agent) closed() (*desiredstate.Snapshot, *admission.Refusal) {
	snapshot := a.base.State.Snapshot()
	refuse := func(reason string) (*desiredstate.Snapshot, *admission.Refusal) {
		return snapshot, &admission.Refusal{Reason: reason, RetryAfter: closedRetry}
	}
	listed, found := a.base.Roster.View().Instance(a.base.Self.Name)
	switch {
	case a.drain.Stopping():
		return refuse("the endpoint is leaving")
	case found && listed.Status != membership.Live:
		return refuse("the instance list says that the endpoint is leaving")
	case a.base.Relay.FreshnessStatus() == freshness.Stale:
		return refuse("the agent cannot confirm its configuration")
	case !snapshot.ZoneInService(a.base.Self.AvailabilityZone):
		return refuse("the availability zone is out of service")
	case !snapshot.EndpointTakesWork(a.base.Self.Name):
		return refuse("the endpoint takes no work")
	}
	return snapshot, nil
}

// admitted is a request that may go to the endpoint.
type admitted struct {
	agent *Agent
	slot  *admission.Slot
	set   string
	start time.Time
	// priority is that of the request's workspace.
	priority int
}

// admit decides on a request. A refusal is always "not run": no byte of the
// request has left the agent.
func (a *Agent) admit(c fiber.Ctx) (*admitted, *admission.Refusal) {
	a.carrier.Downlink().RecordLiveTraffic(len(c.Body()))
	snapshot, refusal := a.closed()
	if refusal != nil {
		return nil, refusal
	}
	if !a.drain.Enter() {
		return nil, &admission.Refusal{Reason: "the endpoint is leaving", RetryAfter: closedRetry}
	}
	request := &admitted{agent: a, start: time.Now()}
	if a.isModel() {
		set, ok := a.serving.use()
		if !ok {
			a.drain.Leave()
			return nil, &admission.Refusal{Reason: "the endpoint is loading weights", RetryAfter: closedRetry}
		}
		request.set = set.String()
		if wanted := c.Get(outcome.SetHeader); wanted != "" && wanted != request.set {
			request.end()
			return nil, &admission.Refusal{Reason: "the endpoint serves another weight set", RetryAfter: closedRetry}
		}
	}
	wanted := gateRequest(c.Get(outcome.WorkspaceHeader), snapshot)
	slot, refusal := a.gate.Admit(wanted)
	if refusal != nil {
		request.end()
		return nil, refusal
	}
	request.slot, request.priority = slot, wanted.Priority
	return request, nil
}

// gateRequest looks up the workspace; one that no ticket names has a middle
// priority and no bound on its share.
func gateRequest(workspace string, snapshot *desiredstate.Snapshot) admission.Request {
	known, found := snapshot.Workspace(workspace)
	if !found {
		known = ticket.Workspace{Priority: defaultRank, MaxShare: defaultShare}
	}
	return admission.Request{Workspace: string([]byte(workspace)), Priority: known.Priority, MaxShare: known.MaxShare}
}

// end releases everything that the request holds.
func (r *admitted) end() {
	if r.slot != nil {
		r.slot.Release()
	}
	if r.set != "" {
		r.agent.serving.release()
	}
	r.agent.drain.Leave()
}

// refuse answers with a refusal.
func (a *Agent) refuse(c fiber.Ctx, status int, what outcome.Outcome, refusal admission.Refusal) error {
	a.setLoad(c)
	c.Set(outcome.Header, string(what))
	c.Set(RetryHeader, strconv.FormatInt(refusal.RetryAfter.Milliseconds(), 10))
	return c.Status(status).JSON(outcome.Refusal{
		Outcome: what, Reason: refusal.Reason, RequestID: c.Get(outcome.RequestIDHeader),
		RetryAfterSeconds: int((refusal.RetryAfter + time.Second - 1) / time.Second),
	})
}

func (a *Agent) setLoad(c fiber.Ctx) {
	load := a.gate.Load()
	c.Set(LoadHeader, FormatLoad(load))
}

// FormatLoad writes a load report for LoadHeader.
func FormatLoad(load admission.Load) string {
	return fmt.Sprintf("%d/%d/%t", load.InFlight, load.Limit, load.Cold)
}

// ParseLoad reads a load report from LoadHeader.
func ParseLoad(text string) (admission.Load, bool) {
	var load admission.Load
	n, err := fmt.Sscanf(text, "%d/%d/%t", &load.InFlight, &load.Limit, &load.Cold)
	return load, err == nil && n == 3
}
