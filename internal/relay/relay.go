package relay

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
)

const (
	// heartbeatInterval is the time between two waves of freshness down the tree.
	heartbeatInterval = time.Second
	// watchWait is how long one watch of the object API waits.
	watchWait = 500 * time.Millisecond
	// watchSlack is added to the wait before a watch counts as failed. A store
	// that hangs must be noticed before the last confirmation is too old.
	watchSlack = 700 * time.Millisecond
	// crossZoneRoundInterval is the number of beats between two rounds of vouching
	// with other zones while the object API confirms.
	crossZoneRoundInterval = 5
	// storeTimeout bounds one call of the object API.
	storeTimeout = 2 * time.Second
	// pullWait is how long a parent holds a pull.
	pullWait = 1200 * time.Millisecond
	// pullSlack is added to the wait before a parent counts as unreachable.
	pullSlack = 300 * time.Millisecond
	// preferredParentInterval is the time after which a child tries its preferred parent
	// again.
	preferredParentInterval = 10 * time.Second
	// minPullInterval bounds the pulls of a child whose parent answers at once.
	minPullInterval = 50 * time.Millisecond
	// readerPullTimeout bounds a pull between readers.
	readerPullTimeout = 400 * time.Millisecond
	// listPollInterval is the time between two reads of the instance list.
	listPollInterval = time.Second
	// retryDelay is the pause after a failed pull from every parent.
	retryDelay = 100 * time.Millisecond
)

// Relay keeps a process's configuration, instance list and freshness up to
// date and passes them on. Set the exported fields before Run.
type Relay struct {
	Self       membership.Instance
	State      *desiredstate.Store
	Membership *membership.Store
	Freshness  *freshness.Tracker
	Desk       *ticketstore.Desk
	Instances  *platformclient.InstanceList
	Control    *controlrpc.Client
	Log        *event.Logger
	// Prefixes are the scopes that this process acts on; none means all.
	Prefixes []string

	mu            sync.Mutex
	heartbeat     int64
	nextHeartbeat chan struct{}
	hasAllScopes  atomic.Bool
	readsStore    atomic.Bool
	peers         peerProgress
	readership    readership
	cached        atomic.Pointer[cachedPosition]
	// listReadAt is when the instance list was read last, in Unix nanoseconds.
	listReadAt atomic.Int64
	// round counts the rounds; only vouch uses it.
	round int
}

// Register adds the relay's calls to a server.
func (r *Relay) Register(server *controlrpc.Server) error {
	r.mu.Lock()
	r.nextHeartbeat = make(chan struct{})
	r.mu.Unlock()
	return server.Register("Relay", &service{relay: r})
}

// Run keeps everything up to date until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	group.Every(listPollInterval, r.pollInstanceList)
	group.Go(r.followParent)
	group.Go(r.runReader)
	group.Every(heartbeatInterval, r.confirmRound)
	group.Wait()
}

// FreshnessStatus returns whether this process may act on its configuration.
func (r *Relay) FreshnessStatus() freshness.Status {
	return r.Freshness.Status(time.Now(), r.Membership.View().Zones())
}

// ReadsStore reports whether this process is a reader that reaches the store.
func (r *Relay) ReadsStore() bool { return r.readsStore.Load() }

// pollInstanceList polls the instance list. Only readers and processes that are not in
// the list yet do so; the others learn it from their parents.
func (r *Relay) pollInstanceList(ctx context.Context) {
	view := r.Membership.View()
	_, listed := view.Instance(r.Self.Name)
	if listed && !r.position().reader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	changes, err := r.Instances.Since(ctx, view.Version())
	if err == nil {
		r.mergeInstances(changes.Instances, changes.Version)
		r.listReadAt.Store(start.UnixNano())
	}
}

// mergeInstances adds records of the instance list and looks up whether this
// process is a reader now.
func (r *Relay) mergeInstances(changed []membership.Instance, version int64) {
	r.Membership.Merge(changed, version)
	r.readership.update(r.position().reader)
}

// startHeartbeat starts a new beat, which answers the waiting children.
func (r *Relay) startHeartbeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeat++
	close(r.nextHeartbeat)
	r.nextHeartbeat = make(chan struct{})
}

func (r *Relay) currentHeartbeat() (int64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heartbeat, r.nextHeartbeat
}

// pullPrefixes returns the scope prefixes to pull: all of them if other processes
// pull from this one.
func (r *Relay) pullPrefixes(position treePosition) []string {
	if position.hasChildren {
		return nil
	}
	return r.Prefixes
}

// pull asks one peer for what changed and merges the answer. The state is
// merged before the ages, so that freshness never covers what is not held.
func (r *Relay) pull(ctx context.Context, peer membership.Instance, prefixes []string, heartbeat int64, wait, timeout time.Duration) (*PullReply, error) {
	upTo := r.State.Snapshot().UpTo()
	if len(prefixes) == 0 && !r.hasAllScopes.Load() {
		upTo = 0
	}
	args := &PullArgs{
		UpTo:          upTo,
		Prefixes:      prefixes,
		RosterVersion: r.Membership.View().Version(),
		Beat:          heartbeat,
		Wait:          wait,
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := &PullReply{}
	start := time.Now()
	if err := r.Control.Call(ctx, peer.ControlAddress, "Relay.Pull", args, reply); err != nil {
		return nil, err
	}
	r.mergeEntries(reply.Entries, reply.UpTo)
	r.updateHasAllScopes(len(prefixes) == 0, reply.UpTo)
	r.mergeInstances(reply.Instances, reply.RosterVersion)
	r.Freshness.Merge(reply.Ages, start.Add(reply.Held))
	return reply, nil
}

func (r *Relay) mergeEntries(entries []desiredstate.Entry, upTo int64) {
	if r.State.Merge(entries, upTo) {
		r.Log.Emit(event.TicketsApplied, event.Fields{"upTo": upTo, "scopes": len(entries)})
	}
}

// updateHasAllScopes records whether this process holds every scope up to the number
// that its state claims: false after a merge of only some scopes, true after a
// merge of all scopes up to that number.
func (r *Relay) updateHasAllScopes(all bool, upTo int64) {
	switch {
	case !all:
		r.hasAllScopes.Store(false)
	case upTo >= r.State.Snapshot().UpTo():
		r.hasAllScopes.Store(true)
	}
}

func hasAnyPrefix(prefixes []string, scope string) bool {
	return len(prefixes) == 0 || slices.ContainsFunc(prefixes, func(prefix string) bool {
		return strings.HasPrefix(scope, prefix)
	})
}
