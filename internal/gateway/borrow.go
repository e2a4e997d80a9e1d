package gateway

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/peering"
)

const (
	// lendTimeout bounds how long a gateway decides on a job of another cell. It exceeds
	// the time for which a job is queued.
	lendTimeout = 250 * time.Millisecond
	// lendMargin is added to lendTimeout to get the timeout of the call.
	lendMargin = 150 * time.Millisecond
	// outcomeTimeout bounds the report of an outcome. If it is lost, the owner of the
	// endpoint counts the job until its deadline.
	outcomeTimeout = 400 * time.Millisecond
	// expiryInterval is how often expired grants are released.
	expiryInterval = 200 * time.Millisecond
)

// remotePeers returns the latest reports on the live gateways of other cells.
func (g *Gateway) remotePeers() []peering.Peer { return g.peerTable.RemotePeers() }

// remoteAnswer is the answer of another gateway: without an error and a grant, it is
// the refusal.
type remoteAnswer struct {
	grant   *dispatch.Grant
	refusal dispatch.Refusal
	err     error
}

// acquireRemote asks another gateway for an endpoint for the job. The call goes on
// if the caller leaves, for two reasons: a grant that arrives later must be released at the
// lender, and to end a call is to close the connection, which other requests share.
func (g *Gateway) acquireRemote(ctx context.Context, lender peering.Member, job *dispatch.Job) (*dispatch.Grant, dispatch.Refusal, error) {
	now := time.Now()
	args := AcquireArgs{Gateway: g.self.Name, Job: *job, UntilDeadline: job.Deadline.Sub(now), UntilTarget: job.TargetTime.Sub(now)}
	answers := make(chan remoteAnswer)
	g.tasks.GoBrief(func(taskCtx context.Context) {
		answer := g.callLender(taskCtx, lender, &args)
		select {
		case answers <- answer:
		case <-ctx.Done():
			if answer.grant != nil {
				answer.grant.Release()
			}
		}
	})
	select {
	case answer := <-answers:
		return answer.grant, answer.refusal, answer.err
	case <-ctx.Done():
		return nil, dispatch.Refusal{Reason: dispatch.ClientDisconnected, QueueTime: time.Since(now)}, nil
	}
}

// callLender calls another gateway.
func (g *Gateway) callLender(ctx context.Context, lender peering.Member, args *AcquireArgs) remoteAnswer {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, lendTimeout+lendMargin)
	defer cancel()
	var reply AcquireReply
	if err := g.controlClient.Call(callCtx, lender.Control, acquireMethod, args, &reply); err != nil {
		g.Log.Emit(event.LenderUnreachable, event.Fields{"request": args.Job.ID, "gateway": lender.Name, "afterMs": time.Since(start).Milliseconds(), "error": err.Error()})
		return remoteAnswer{err: err}
	}
	if reply.GrantID == 0 {
		return remoteAnswer{refusal: reply.Refusal}
	}
	decision := reply.Decision
	decision.Lender, decision.Owned = lender.Name, false
	return remoteAnswer{grant: dispatch.NewRemoteGrant(reply.Endpoint, reply.Version, decision, func(outcome dispatch.Outcome) {
		g.tasks.GoBrief(func(ctx context.Context) {
			g.reportOutcome(ctx, lender, OutcomeArgs{GrantID: reply.GrantID, Outcome: outcome})
		})
	})}
}

// reportOutcome reports the outcome of a job to the gateway that granted its endpoint.
func (g *Gateway) reportOutcome(ctx context.Context, lender peering.Member, args OutcomeArgs) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	if err := g.controlClient.Call(ctx, lender.Control, outcomeMethod, &args, new(bool)); err != nil {
		g.Log.Emit(event.LenderUnreachable, event.Fields{"gateway": lender.Name, "error": err.Error()})
	}
}

// reportAnnouncement reports what an endpoint said about itself to the gateway that granted it.
func (g *Gateway) reportAnnouncement(lender string, announced peering.Announced) {
	member, alive := g.peerTable.AliveMember(lender)
	if !alive {
		return
	}
	g.tasks.GoBrief(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
		defer cancel()
		if err := g.controlClient.Call(ctx, member.Control, announceMethod, &announced, new(bool)); err != nil {
			g.Log.Emit(event.LenderUnreachable, event.Fields{"gateway": lender, "endpoint": announced.Endpoint, "error": err.Error()})
		}
	})
}

// expireGrants releases the expired grants to other gateways until ctx is done.
func (g *Gateway) expireGrants(ctx context.Context) {
	for concurrency.Tick(ctx, expiryInterval) {
		g.lender.releaseExpired()
	}
}
