package dispatch

import (
	"context"
	"time"
)

const (
	// maxOwnerCalls is the number of owners that are asked for a place for one job before it is
	// queued at one of them. A cell of the usual size has fewer than six owners.
	maxOwnerCalls = 6
	// maxSilentCalls is the number of gateways of the cell that may fail to respond before a
	// job is refused.
	maxSilentCalls = 2
)

// ownerSearch is the search for a place for one job in a cell with fewer endpoints than
// gateways.
type ownerSearch struct {
	federation *Federation
	job        *Job
	startedAt  time.Time
	// calls is the number of gateways asked, remoteCalls the number of those in other cells, and
	// silentCalls the number of those that did not respond.
	calls, remoteCalls, silentCalls int
	// refused holds the owners that refused the job.
	refused map[string]bool
}

// acquireFromOwners returns a grant for a job of a service whose endpoints in this cell are
// granted only by their owners, or the refusal. An owner decides on the job as on its own,
// knows the load exactly and does not pass the job on. The job goes to another cell if that is
// likely to serve it sooner. If no owner has room, it is queued at one gateway.
func (f *Federation) acquireFromOwners(ctx context.Context, job *Job) (*Grant, Refusal) {
	local, refusal := f.Local.predict(job)
	search := &ownerSearch{federation: f, job: job, startedAt: time.Now(), refused: map[string]bool{}}
	for search.calls < maxOwnerCalls && search.silentCalls < maxSilentCalls {
		ask, predicted, ok := search.next()
		if !ok || (refusal == nil && (search.calls > 0 || predicted >= local)) {
			break
		}
		grant, _ := ask(ctx)
		if ctx.Err() != nil {
			return nil, search.left(grant)
		}
		if grant != nil {
			return grant, Refusal{}
		}
	}
	if refusal != nil {
		if grant := f.askLimitHolders(ctx, job); grant != nil {
			return grant, Refusal{}
		}
	}
	if refusal == nil || !refusal.Reason.unservable() {
		return f.Local.AwaitEndpoint(ctx, job)
	}
	return search.queue(ctx, *refusal)
}

// askFunc asks a gateway for a place.
type askFunc func(ctx context.Context) (*Grant, Refusal)

// next returns the call to the gateway that is likely to serve the job first: an owner of the
// cell, or a gateway of another one. The predicted latency includes the margin by which it must
// be lower than that at the own endpoint.
func (s *ownerSearch) next() (ask askFunc, predicted time.Duration, ok bool) {
	owner, ownerFound := s.chooseOwner()
	remote, remoteFound := lender{}, false
	if s.job.Model != "" && s.remoteCalls < maxLenders {
		remote, remoteFound = s.federation.chooseLender(s.job, false)
	}
	if remoteFound && ownerFound {
		remoteFound = remote.predicted+s.federation.margin(remote.member) < owner.predicted
	}
	switch {
	case remoteFound:
		return func(ctx context.Context) (*Grant, Refusal) { return s.askRemote(ctx, remote) }, remote.predicted + s.federation.margin(remote.member), true
	case ownerFound:
		return func(ctx context.Context) (*Grant, Refusal) { return s.askOwner(ctx, owner, true) }, owner.predicted + s.federation.margin(owner.member), true
	default:
		return nil, 0, false
	}
}

// chooseOwner returns the owner of the cell that is likely to serve the job first. Of the owners
// in the own region and of those in other regions, the better of two random ones is compared.
func (s *ownerSearch) chooseOwner() (cellOwner, bool) {
	var near, far []cellOwner
	for _, owner := range s.federation.askableOwners(s.job) {
		switch {
		case s.refused[owner.member.Name]:
		case owner.member.Region == s.federation.Local.Self.Region:
			near = append(near, owner)
		default:
			far = append(far, owner)
		}
	}
	best, found := betterOwner(near)
	other, otherFound := betterOwner(far)
	if otherFound && (!found || other.predicted+remoteMargin < best.predicted) {
		return other, true
	}
	return best, found
}

// betterOwner returns the better one of two random owners, drawn in proportion to the free slots
// that they report or, if none reports any, to the places that they may still have.
func betterOwner(owners []cellOwner) (cellOwner, bool) {
	weight := func(owner cellOwner) int { return owner.free }
	first := pickWeighted(owners, weight)
	if first < 0 {
		weight = func(owner cellOwner) int { return owner.places }
		first = pickWeighted(owners, weight)
	}
	if first < 0 {
		return cellOwner{}, false
	}
	second := pickWeighted(owners, weight)
	if owners[second].predicted < owners[first].predicted {
		return owners[second], true
	}
	return owners[first], true
}

// askOwner asks an owner of the cell. An owner that is asked for an immediate place refuses the
// job instead of queueing it.
func (s *ownerSearch) askOwner(ctx context.Context, owner cellOwner, immediate bool) (*Grant, Refusal) {
	s.calls++
	job := *s.job
	job.Immediate = immediate
	grant, refusal, err := s.federation.ask(ctx, owner.member, &job)
	if ctx.Err() != nil {
		return grant, refusal
	}
	if err != nil {
		s.silentCalls++
		refusal = Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}
	}
	if grant == nil {
		s.refused[owner.member.Name] = true
	} else {
		s.federation.Local.trackBorrowed(grant, owner.member.Name)
	}
	s.federation.recordOwnerAnswer(&job, &owner, grant != nil, err)
	return grant, refusal
}

// askRemote asks a gateway of another cell.
func (s *ownerSearch) askRemote(ctx context.Context, remote lender) (*Grant, Refusal) {
	s.calls++
	s.remoteCalls++
	grant, refusal, err := s.federation.ask(ctx, remote.member, s.job)
	if ctx.Err() != nil {
		return grant, refusal
	}
	if err != nil {
		s.silentCalls++
		refusal = Refusal{Reason: NoEndpoint, RetryAfter: noEndpointRetryAfter}
	}
	s.federation.recordAnswer(remote.member, grant != nil, err)
	return grant, refusal
}

// queue queues the job at an owner of the cell, drawn in proportion to the slots, or at a
// gateway of another cell if the cell has no owner for it. If that does not respond, the job is
// queued at another one.
func (s *ownerSearch) queue(ctx context.Context, refusal Refusal) (*Grant, Refusal) {
	for s.silentCalls < maxSilentCalls {
		owners := s.federation.askableOwners(s.job)
		silentBefore := s.silentCalls
		var grant *Grant
		if index := pickWeighted(owners, func(owner cellOwner) int { return owner.slots }); index >= 0 {
			grant, refusal = s.askOwner(ctx, owners[index], false)
		} else if remote, found := s.chooseRemoteQueue(); found {
			grant, refusal = s.askRemote(ctx, remote)
		}
		if ctx.Err() != nil {
			return nil, s.left(grant)
		}
		if grant != nil {
			return grant, Refusal{}
		}
		if s.silentCalls == silentBefore {
			break
		}
	}
	refusal.QueueTime = time.Since(s.startedAt)
	return nil, refusal
}

// chooseRemoteQueue returns a gateway of another cell at which the job may be queued.
func (s *ownerSearch) chooseRemoteQueue() (lender, bool) {
	if s.job.Model == "" || s.remoteCalls >= maxLenders {
		return lender{}, false
	}
	return s.federation.chooseLender(s.job, true)
}

// left returns the refusal of a job whose caller left while a gateway was asked. The answer, if
// there is one, says nothing about that gateway, and a grant is released.
func (s *ownerSearch) left(grant *Grant) Refusal {
	if grant != nil {
		grant.Release()
	}
	return Refusal{Reason: ClientDisconnected, RetryAfter: overloadedRetryAfter, QueueTime: time.Since(s.startedAt)}
}
