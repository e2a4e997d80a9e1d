package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/peering"
)

const (
	// maxLenders is the number of gateways of other cells that are asked for an endpoint
	// for one job.
	maxLenders = 2
	// lenderExclusion is how long a gateway that did not respond is not asked again.
	lenderExclusion = time.Second
	// holderExclusion is how long the holder of a request limit is not asked again after it
	// granted nothing.
	holderExclusion = 50 * time.Millisecond
	// regionMargin and remoteMargin are how much lower the latency that a report predicts
	// must be for a job to leave a cell that could serve it: about the delay that requests
	// since the report cause, and the round trip to another region.
	regionMargin = 50 * time.Millisecond
	remoteMargin = 100 * time.Millisecond
)

// Federation acquires endpoints for the jobs of one gateway: those of its own cell through
// its dispatcher, and those of other cells, or of a cell with fewer endpoints than gateways,
// through the gateways that own them. Only the
// owner of an endpoint grants it, so that the load that it knows is exact, however many
// gateways there are. Set the exported fields before the first call; the methods are safe
// for concurrent use.
type Federation struct {
	Local *Dispatcher
	// Remotes returns the latest reports on the live gateways of other cells.
	Remotes func() []peering.Peer
	// Member returns the member record of a live gateway of any cell. It may be nil if there is
	// only this one.
	Member func(name string) (peering.Member, bool)
	// AcquireRemote asks another gateway for an endpoint. It returns an error if
	// the gateway did not respond, and otherwise the refusal if the grant is nil. Once ctx is done, its results matter only in that a
	// grant is released.
	AcquireRemote func(ctx context.Context, lender peering.Member, job *Job) (*Grant, Refusal, error)

	mu      sync.Mutex
	lenders map[string]*lenderState
	owners  map[ownerKey]*ownerState
}

// lenderState is what the gateway knows about a gateway of another cell beyond its report.
type lenderState struct {
	// used is the number of slots granted since the report received at reportedAt.
	used          int
	reportedAt    time.Time
	excludedUntil time.Time
}

// lender is a gateway of another cell that may grant an endpoint for a job.
type lender struct {
	member    peering.Member
	free      int
	slots     int
	predicted time.Duration
}

// Acquire returns a grant for an endpoint or, if the grant is nil, the refusal. A job goes to
// another cell if that is likely to serve it sooner. Otherwise it is queued in the own cell
// or, if that has no endpoint for the job, in another one.
func (f *Federation) Acquire(ctx context.Context, job *Job) (*Grant, Refusal) {
	f.Local.recordDemand(job)
	if f.Local.ownersGrant(job.Service) {
		return f.acquireFromOwners(ctx, job)
	}
	if job.Model == "" || len(f.Remotes()) == 0 {
		return f.acquireInCell(ctx, job)
	}
	local, refusal := f.Local.predict(job)
	for attempt := range maxLenders {
		lender, ok := f.chooseLender(job, refusal != nil && refusal.Reason.unservable())
		if !ok || (refusal == nil && (attempt > 0 || lender.predicted+f.margin(lender.member) >= local)) {
			break
		}
		asked := time.Now()
		grant, remoteRefusal, err := f.ask(ctx, lender.member, job)
		if ctx.Err() != nil {
			// The answer, if there is one, says nothing about the lender.
			if grant != nil {
				grant.Release()
			}
			return nil, Refusal{Reason: ClientDisconnected, RetryAfter: overloadedRetryAfter, QueueTime: time.Since(asked)}
		}
		f.recordAnswer(lender.member, grant != nil, err)
		if grant != nil {
			return grant, Refusal{}
		}
		if err == nil && refusal != nil && refusal.Reason.unservable() {
			refusal = &remoteRefusal
		}
	}
	if refusal != nil {
		if grant := f.askLimitHolders(ctx, job); grant != nil {
			return grant, Refusal{}
		}
	}
	if refusal != nil && refusal.Reason == EndpointLimited {
		return nil, *refusal
	}
	// Also if no endpoint may take the job: a late one may wait until engines are ready.
	return f.Local.AwaitEndpoint(ctx, job)
}

// acquireInCell acquires an endpoint of the own cell or service. If there is none, it asks the
// gateways that hold the request limits of the endpoints.
func (f *Federation) acquireInCell(ctx context.Context, job *Job) (*Grant, Refusal) {
	if f.Local.LimitsKnown() {
		if _, refusal := f.Local.predict(job); refusal != nil {
			if grant := f.askLimitHolders(ctx, job); grant != nil {
				return grant, Refusal{}
			}
		}
	}
	return f.Local.AwaitEndpoint(ctx, job)
}

// askLimitHolders asks gateways that hold the request limits of endpoints for a grant. It
// returns nil if there is none.
func (f *Federation) askLimitHolders(ctx context.Context, job *Job) *Grant {
	asked := 0
	for _, name := range f.Local.LimitHolders(job) {
		member, alive := f.Member(name)
		if asked == maxLenders || ctx.Err() != nil {
			return nil
		}
		if !alive || f.excluded(name) {
			continue
		}
		asked++
		grant, _, err := f.ask(ctx, member, job)
		if grant != nil && ctx.Err() != nil {
			grant.Release()
			return nil
		}
		if grant != nil {
			return grant
		}
		f.exclude(name, err)
	}
	return nil
}

// ask asks another gateway for an endpoint that this one need not avoid.
func (f *Federation) ask(ctx context.Context, member peering.Member, job *Job) (*Grant, Refusal, error) {
	grant, refusal, err := f.AcquireRemote(ctx, member, f.Local.withoutAvoided(job))
	if grant != nil && f.Local.Avoids(&grant.Endpoint) {
		// A response to another request arrived in the meantime.
		grant.Release()
		return nil, Refusal{Reason: Overloaded, RetryAfter: overloadedRetryAfter}, nil
	}
	return grant, refusal, err
}

// excluded reports whether a gateway is not asked for now.
func (f *Federation) excluded(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.lender(name).excludedUntil)
}

// exclude excludes a gateway that granted nothing, or did not respond, for a while.
func (f *Federation) exclude(name string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	duration := holderExclusion
	if err != nil {
		duration = lenderExclusion
	}
	f.lender(name).excludedUntil = time.Now().Add(duration)
}

// margin returns how much lower the predicted latency at a lender must be.
func (f *Federation) margin(member peering.Member) time.Duration {
	if member.Region == f.Local.Self.Region {
		return regionMargin
	}
	return remoteMargin
}

// chooseLender returns the better one of two random gateways of other cells, drawn in
// proportion to their free slots. If none has free slots and queue is set, the choice is in
// proportion to the slots.
func (f *Federation) chooseLender(job *Job, queue bool) (lender, bool) {
	lenders := f.candidates(job)
	first := pickWeighted(lenders, func(l lender) int { return l.free })
	if first < 0 {
		if queue {
			first = pickWeighted(lenders, func(l lender) int { return l.slots })
		}
		if first < 0 {
			return lender{}, false
		}
		return lenders[first], true
	}
	second := pickWeighted(lenders, func(l lender) int { return l.free })
	if lenders[second].predicted+f.margin(lenders[second].member) < lenders[first].predicted+f.margin(lenders[first].member) {
		return lenders[second], true
	}
	return lenders[first], true
}

// candidates returns the gateways of other cells that may grant an endpoint for the job.
func (f *Federation) candidates(job *Job) []lender {
	config, exists := f.Local.Service(job.Service)
	if !exists || config.Engine == nil {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var lenders []lender
	for _, peer := range f.Remotes() {
		member := peer.Digest.Member
		state := f.lender(member.Name)
		capacity := capacityOf(peer.Digest.Capacities, job.Service)
		if !peer.Digest.Ready || peer.Digest.Stopping || now.Before(state.excludedUntil) || capacity.Endpoints == 0 || !job.allowsRegion(member.Region) {
			continue
		}
		if !state.reportedAt.Equal(peer.ReceivedAt) {
			state.reportedAt, state.used = peer.ReceivedAt, 0
		}
		free := max(0, capacity.Free-state.used)
		lenders = append(lenders, lender{member: member, free: free, slots: capacity.Slots, predicted: predictAt(config.Engine, capacity, free, job.PromptTokens)})
	}
	return lenders
}

// predictAt returns the predicted latency of a prompt at an endpoint with the mean load of
// a gateway's endpoints.
func predictAt(engineConfig *configuration.Engine, capacity peering.Capacity, free, prompt int) time.Duration {
	running := max(0, capacity.Slots-capacity.Endpoints*ownerReservedSlots-free) / capacity.Endpoints
	return predictLatency(engineConfig, running, capacity.PendingPrefill/capacity.Endpoints, prompt, 1)
}

// recordAnswer records the answer of a gateway that was asked for an endpoint.
func (f *Federation) recordAnswer(member peering.Member, granted bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.lender(member.Name)
	switch {
	case err != nil:
		state.excludedUntil = time.Now().Add(lenderExclusion)
	case granted:
		state.used++
	default:
		// Its slots have been taken since the report.
		state.used = maxReportedSlots
	}
}

// maxReportedSlots exceeds the free slots that any gateway reports.
const maxReportedSlots = 1 << 20

func (f *Federation) lender(name string) *lenderState {
	if f.lenders == nil {
		f.lenders = map[string]*lenderState{}
	}
	state := f.lenders[name]
	if state == nil {
		state = &lenderState{}
		f.lenders[name] = state
	}
	return state
}

// allowsRegion reports whether an endpoint in the region may receive the job.
func (j *Job) allowsRegion(region string) bool {
	return len(j.Regions) == 0 || slices.Contains(j.Regions, region)
}

func capacityOf(capacities []peering.Capacity, service string) peering.Capacity {
	for _, capacity := range capacities {
		if capacity.Service == service {
			return capacity
		}
	}
	return peering.Capacity{}
}

// pickWeighted returns a random index in proportion to the weights, -1 if all are 0.
func pickWeighted[T any](lenders []T, weight func(T) int) int {
	total := 0
	for _, l := range lenders {
		total += weight(l)
	}
	if total == 0 {
		return -1
	}
	target := rand.IntN(total)
	for index, l := range lenders {
		if target -= weight(l); target < 0 {
			return index
		}
	}
	return -1
}
