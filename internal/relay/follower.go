package relay

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
)

// noHeartbeat is the heartbeat number of a child that has not pulled from its
// parent yet. The parent replies to it immediately.
const noHeartbeat = -1

// followParent pulls from a parent while this process is not a reader. After a
// failure it switches to the next parent. It returns to the preferred parent when
// the instance list changes and after preferredParentInterval. Otherwise every
// process whose parent once failed would remain a child of the readers.
func (r *Relay) followParent(ctx context.Context) {
	heartbeat := int64(noHeartbeat)
	var currentParent string
	parentIndex := 0
	listVersion := int64(-1)
	var preferredSince time.Time
	for ctx.Err() == nil {
		view := r.Membership.View()
		position := r.position()
		if position.reader || len(position.parents) == 0 {
			concurrency.Sleep(ctx, retryDelay)
			continue
		}
		if view.Version() != listVersion || time.Since(preferredSince) > preferredParentInterval {
			listVersion, parentIndex, preferredSince = view.Version(), 0, time.Now()
		}
		parent := position.parents[parentIndex%len(position.parents)]
		if parent.Name != currentParent {
			currentParent, heartbeat = parent.Name, noHeartbeat
			r.Log.Emit(event.ParentChanged, event.Fields{"parent": parent.Name})
		}
		start := time.Now()
		nextHeartbeat, err := r.pullParent(ctx, position, parent, heartbeat)
		if err != nil {
			parentIndex++
			concurrency.Sleep(ctx, retryDelay)
			continue
		}
		heartbeat = nextHeartbeat
		concurrency.Sleep(ctx, minPullInterval-time.Since(start))
	}
}

// pullParent pulls from a parent and returns the parent's heartbeat number. If the
// number has changed, it starts a heartbeat for this process's own children.
func (r *Relay) pullParent(ctx context.Context, position treePosition, parent membership.Instance, heartbeat int64) (int64, error) {
	wait := pullWait
	if heartbeat == noHeartbeat {
		wait = 0
	}
	reply, err := r.pull(ctx, parent, r.pullPrefixes(position), heartbeat, wait, wait+pullSlack)
	if err != nil {
		return 0, err
	}
	if reply.Beat != heartbeat {
		r.startHeartbeat()
	}
	return reply.Beat, nil
}
