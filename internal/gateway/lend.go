package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// The rpc service with which other gateways acquire endpoints of this gateway.
const (
	lendingService = "Lending"
	acquireMethod  = lendingService + ".Acquire"
	outcomeMethod  = lendingService + ".Outcome"
	announceMethod = lendingService + ".Announce"
)

// AcquireArgs describes the job of another gateway. Times are relative, because
// the clocks of instances differ.
type AcquireArgs struct {
	Gateway string
	Job     dispatch.Job
	// UntilDeadline and UntilTarget are the times left until the job's deadline and target
	// time.
	UntilDeadline time.Duration
	UntilTarget   time.Duration
}

// AcquireReply holds a grant or a refusal.
type AcquireReply struct {
	// GrantID identifies the grant, 0 if the job was refused.
	GrantID  int64
	Endpoint clusterstate.Endpoint
	Version  int64
	Decision dispatch.Decision
	Refusal  dispatch.Refusal
}

// OutcomeArgs reports an outcome of a granted job.
type OutcomeArgs struct {
	GrantID int64
	Outcome dispatch.Outcome
}

// lender grants the gateway's endpoints to gateways of other cells, and to those of its own if
// that has fewer endpoints than gateways. It holds these grants until they are released or the job's deadline passes.
type lender struct {
	acquire func(ctx context.Context, job *dispatch.Job) (*dispatch.Grant, dispatch.Refusal)
	// announce records what endpoints said to other gateways.
	announce func(list []peering.Announced, age time.Duration)
	// inOwnCell reports whether a gateway belongs to the cell of this one, recordLent counts a
	// grant. Both may be nil.
	inOwnCell  func(gateway string) bool
	recordLent func(ownCell bool)
	log        *event.Logger

	mu     sync.Mutex
	lastID int64
	grants map[int64]*lentGrant
}

// lentGrant is a grant to another gateway.
type lentGrant struct {
	// mu serializes the outcomes.
	mu        sync.Mutex
	grant     *dispatch.Grant
	expiresAt time.Time
}

// Acquire grants the job an endpoint or refuses it.
func (l *lender) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	now := time.Now()
	job := args.Job
	job.Arrived, job.Deadline, job.TargetTime = now, now.Add(args.UntilDeadline), now.Add(args.UntilTarget)
	ctx, cancel := context.WithTimeout(context.Background(), min(args.UntilDeadline, lendTimeout))
	defer cancel()
	grant, refusal := l.acquire(ctx, &job)
	ownCell := l.inOwnCell != nil && l.inOwnCell(args.Gateway)
	fields := event.Fields{"request": job.ID, "gateway": args.Gateway, "service": job.Service, "ownCell": ownCell, "immediate": job.Immediate, "afterMs": time.Since(now).Milliseconds()}
	if grant == nil {
		reply.Refusal = refusal
		fields["reason"] = string(refusal.Reason)
		l.log.Emit(event.EndpointNotLent, fields)
		return nil
	}
	if l.recordLent != nil {
		l.recordLent(ownCell)
	}
	reply.GrantID = l.add(grant, job.Deadline)
	reply.Endpoint, reply.Version, reply.Decision = grant.Endpoint, grant.Version, grant.Decision
	fields["endpoint"], fields["running"], fields["othersAgeMs"] = grant.Endpoint.ID, grant.Decision.Running, grant.Decision.DigestAge.Milliseconds()
	l.log.Emit(event.EndpointLent, fields)
	return nil
}

func (l *lender) add(grant *dispatch.Grant, expiresAt time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.grants == nil {
		l.grants = map[int64]*lentGrant{}
	}
	l.lastID++
	l.grants[l.lastID] = &lentGrant{grant: grant, expiresAt: expiresAt}
	return l.lastID
}

// Outcome applies a reported outcome. known is set to false if the grant has expired.
func (l *lender) Outcome(args *OutcomeArgs, known *bool) error {
	l.mu.Lock()
	lent := l.grants[args.GrantID]
	if args.Outcome == dispatch.Released {
		delete(l.grants, args.GrantID)
	}
	l.mu.Unlock()
	*known = lent != nil
	if lent == nil {
		return nil
	}
	lent.mu.Lock()
	defer lent.mu.Unlock()
	if args.Outcome == dispatch.Released {
		lent.grant.Release()
	} else {
		lent.grant.Record(args.Outcome)
	}
	return nil
}

// Announce records what an endpoint said to the gateway to which it was granted.
func (l *lender) Announce(args *peering.Announced, _ *bool) error {
	l.announce([]peering.Announced{*args}, 0)
	return nil
}

// releaseExpired releases the grants whose job's deadline has passed, for example because
// the other gateway failed.
func (l *lender) releaseExpired() {
	l.mu.Lock()
	now := time.Now()
	var expired []*lentGrant
	for id, lent := range l.grants {
		if now.After(lent.expiresAt) {
			expired = append(expired, lent)
			delete(l.grants, id)
		}
	}
	l.mu.Unlock()
	for _, lent := range expired {
		lent.mu.Lock()
		lent.grant.Release()
		lent.mu.Unlock()
	}
}
