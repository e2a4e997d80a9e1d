package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// ownerKey identifies an owner of endpoints of a service.
type ownerKey struct {
	service, gateway string
}

// ownerState is what this gateway knows about an owner of its cell beyond the owner's digest.
type ownerState struct {
	// used is the number of jobs that the owner granted since the digest received at reportedAt.
	used       int
	reportedAt time.Time
	// full is true if the owner refused a job since that digest. refusedSlack is the longest
	// delay that such a job tolerated: the owner may still take one that tolerates more.
	full         bool
	refusedSlack time.Duration
}

// ownerState returns the state of an owner, without what its newest digest replaces. The caller
// must hold mu.
func (f *Federation) ownerState(service, gateway string, reportedAt time.Time) *ownerState {
	if f.owners == nil {
		f.owners = map[ownerKey]*ownerState{}
	}
	key := ownerKey{service: service, gateway: gateway}
	state := f.owners[key]
	if state == nil {
		state = &ownerState{}
		f.owners[key] = state
	}
	if !state.reportedAt.Equal(reportedAt) {
		*state = ownerState{reportedAt: reportedAt}
	}
	return state
}

// askableOwners returns the other owners of the cell that may take the job now or later and
// that are not excluded because they did not respond.
func (f *Federation) askableOwners(job *Job) []cellOwner {
	owners := f.Local.cellOwners(job, func(owner peering.Peer) int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.ownerState(job.Service, owner.Digest.Member.Name, owner.ReceivedAt).used
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	askable := owners[:0]
	for _, owner := range owners {
		state := f.ownerState(job.Service, owner.member.Name, owner.reportedAt)
		if now.Before(f.lender(owner.member.Name).excludedUntil) {
			continue
		}
		if state.full && owner.slack <= state.refusedSlack {
			owner.free, owner.places = 0, 0
		}
		askable = append(askable, owner)
	}
	return askable
}

// recordOwnerAnswer records the answer of an owner that was asked for a place.
func (f *Federation) recordOwnerAnswer(job *Job, owner *cellOwner, granted bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.ownerState(job.Service, owner.member.Name, owner.reportedAt)
	switch {
	case err != nil:
		f.lender(owner.member.Name).excludedUntil = time.Now().Add(lenderExclusion)
	case granted:
		state.used++
	default:
		if !state.full || owner.slack > state.refusedSlack {
			state.full, state.refusedSlack = true, owner.slack
		}
	}
}
