package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

const (
	// maxLenders is the number of gateways of other cells that are asked for an endpoint
	// for one job.
	maxLenders = 2
	// lenderExclusion is how long a gateway that did not respond is not asked again.
	lenderExclusion = time.Second
)

// Federation acquires endpoints for the jobs of one gateway: those of its own cell through
// its dispatcher, and those of other cells through the gateways that own them. Only the
// owner of an endpoint grants it, so that the load that it knows is exact, however many
// gateways there are. Set the exported fields before the first call; the methods are safe
// for concurrent use.
type Federation struct {
	Local *Dispatcher
	// Remotes returns the latest reports on the live gateways of other cells.
	Remotes func() []peering.Peer
	// AcquireRemote asks a gateway of another cell for an endpoint. It returns an error if
	// the gateway did not respond.
	AcquireRemote func(ctx context.Context, lender peering.Member, job *Job) (*Grant, *Refusal, error)

	mu      sync.Mutex
	lenders map[string]*lenderState
}

// lenderState is what the gateway knows about a gateway of another cell beyond its report.
type lenderState struct {
	// used is the number of slots granted since the report received at reportedAt.
	used          int
	reportedAt    time.Time
	excludedUntil time.Time
}

// Acquire returns a grant for an endpoint, or a refusal. A job that the own cell cannot
// serve now goes to another cell that has free slots. It is queued in the own cell or, if
// that has no endpoint for the job, in another one.
func (f *Federation) Acquire(ctx context.Context, job *Job) (*Grant, *Refusal) {
	if len(f.Remotes()) == 0 {
		return f.Local.Acquire(ctx, job)
	}
	grant, refusal := f.Local.TryAcquire(ctx, job)
	if grant != nil {
		return grant, nil
	}
	for range maxLenders {
		lender, ok := f.chooseLender(job, refusal.Reason == NoEndpoint)
		if !ok {
			break
		}
		grant, remoteRefusal, err := f.AcquireRemote(ctx, lender, job)
		f.recordAnswer(lender, grant != nil, err)
		if grant != nil {
			return grant, nil
		}
		if err == nil && refusal.Reason == NoEndpoint {
			refusal = remoteRefusal
		}
	}
	if refusal.Reason == NoEndpoint || ctx.Err() != nil {
		return nil, refusal
	}
	return f.Local.AwaitEndpoint(ctx, job)
}

// chooseLender returns a random gateway of another cell, in proportion to its free slots.
// If none has free slots and queue is set, the choice is in proportion to the slots.
func (f *Federation) chooseLender(job *Job, queue bool) (peering.Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var members []peering.Member
	var free, slots []int
	for _, peer := range f.Remotes() {
		member := peer.Digest.Member
		state := f.lender(member.Name)
		if !peer.Digest.Ready || peer.Digest.Stopping || now.Before(state.excludedUntil) || !job.allowsRegion(member.Region) {
			continue
		}
		if !state.reportedAt.Equal(peer.ReceivedAt) {
			state.reportedAt, state.used = peer.ReceivedAt, 0
		}
		capacity := capacityOf(peer.Digest.Capacities, job.Service)
		members = append(members, member)
		free, slots = append(free, max(0, capacity.Free-state.used)), append(slots, capacity.Slots)
	}
	index := pickWeighted(free)
	if index < 0 && queue {
		index = pickWeighted(slots)
	}
	if index < 0 {
		return peering.Member{}, false
	}
	return members[index], true
}

// recordAnswer records the answer of a gateway that was asked for an endpoint.
func (f *Federation) recordAnswer(lender peering.Member, granted bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.lender(lender.Name)
	switch {
	case err != nil:
		state.excludedUntil = time.Now().Add(lenderExclusion)
	case granted:
		state.used++
	default:
		// Its slots have been taken since the report.
		state.used = max(state.used, maxReportedSlots)
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
func pickWeighted(weights []int) int {
	total := 0
	for _, weight := range weights {
		total += weight
	}
	if total == 0 {
		return -1
	}
	target := rand.IntN(total)
	for index, weight := range weights {
		if target -= weight; target < 0 {
			return index
		}
	}
	return -1
}
