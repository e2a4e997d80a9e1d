package relay

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
)

// noBeat is the beat of a child that has not pulled from its parent yet, so
// that the parent answers at once.
const noBeat = -1

// follow pulls from a parent while this process is not a reader. After a
// failure it moves to the next parent. When the instance list changes, and after
// a while, it goes back to the preferred one, so that the readers do not keep
// every process whose parent once failed.
func (r *Relay) follow(ctx context.Context) {
	beat := int64(noBeat)
	var current string
	choice := 0
	version := int64(-1)
	var preferredAt time.Time
	for ctx.Err() == nil {
		view := r.Membership.View()
		at := r.place()
		if at.reader || len(at.parents) == 0 {
			concurrency.Sleep(ctx, retryPause)
			continue
		}
		if view.Version() != version || time.Since(preferredAt) > returnInterval {
			version, choice, preferredAt = view.Version(), 0, time.Now()
		}
		parent := at.parents[choice%len(at.parents)]
		if parent.Name != current {
			current, beat = parent.Name, noBeat
			r.Log.Emit(event.ParentChanged, event.Fields{"parent": parent.Name})
		}
		start := time.Now()
		next, err := r.pullParent(ctx, at, parent, beat)
		if err != nil {
			choice++
			concurrency.Sleep(ctx, retryPause)
			continue
		}
		beat = next
		concurrency.Sleep(ctx, minPullInterval-time.Since(start))
	}
}

func (r *Relay) pullParent(ctx context.Context, at place, parent membership.Instance, beat int64) (int64, error) {
	wait := pullWait
	if beat == noBeat {
		wait = 0
	}
	reply, err := r.pull(ctx, parent, r.wanted(at), beat, wait, wait+pullSlack)
	if err != nil {
		return 0, err
	}
	if reply.Beat != beat {
		r.advance()
	}
	return reply.Beat, nil
}
