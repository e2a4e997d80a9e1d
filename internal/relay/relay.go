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
	// heartbeatInterval is the time between two heartbeats, which propagate
	// freshness down the tree.
	heartbeatInterval = time.Second
	// watchWait is the time for which a watch of the object API waits for changes.
	watchWait = 500 * time.Millisecond
	// watchSlack is added to watchWait to get the timeout of a watch. A store that
	// hangs must be detected before the last confirmation expires.
	watchSlack = 700 * time.Millisecond
	// crossZoneRoundInterval is the number of heartbeats between two rounds that
	// include other zones while this process can read the object API.
	crossZoneRoundInterval = 5
	// storeTimeout is the timeout of reading the instance list, and of loading from
	// and writing to the object API.
	storeTimeout = 2 * time.Second
	// pullWait is the maximum time for which a parent delays its reply to a pull
	// while there is nothing to send.
	pullWait = 1200 * time.Millisecond
	// pullSlack is added to the wait of a pull to get its timeout, after which the
	// parent counts as unreachable.
	pullSlack = 300 * time.Millisecond
	// preferredParentInterval is the time after which a child tries its preferred
	// parent again.
	preferredParentInterval = 10 * time.Second
	// minPullInterval is the minimum time between two pulls. It limits the pull rate
	// of a child whose parent replies immediately.
	minPullInterval = 50 * time.Millisecond
	// readerPullTimeout is the timeout of a pull between readers.
	readerPullTimeout = 400 * time.Millisecond
	// listPollInterval is the time between two polls of the instance list.
	listPollInterval = time.Second
	// retryDelay is the pause after a failed pull from a parent, and between two
	// checks whether this process has become a reader or ceased to be one.
	retryDelay = 100 * time.Millisecond
)

// Relay keeps a process's configuration, instance list and freshness up to date
// and sends them to the process's children. Set the exported fields before calling
// Run.
type Relay struct {
	Self       membership.Instance
	State      *desiredstate.Store
	Membership *membership.Store
	Freshness  *freshness.Tracker
	Tickets    *ticketstore.Store
	Instances  *platformclient.InstanceList
	Control    *controlrpc.Client
	Log        *event.Logger
	// Prefixes select the scopes that this process acts on. If empty, it acts on
	// all scopes.
	Prefixes []string

	mu            sync.Mutex
	heartbeat     int64
	nextHeartbeat chan struct{}
	hasAllScopes  atomic.Bool
	activeReader  atomic.Bool
	peers         peerProgress
	readership    readership
	cached        atomic.Pointer[cachedPosition]
	// listReadAt is the start of the last successful read of the instance list, in
	// Unix nanoseconds.
	listReadAt atomic.Int64
	// round counts the calls of confirmRound, which alone increments it.
	round int
}

// Register registers the relay's RPC service with a server.
func (r *Relay) Register(server *controlrpc.Server) error {
	r.mu.Lock()
	r.nextHeartbeat = make(chan struct{})
	r.mu.Unlock()
	return server.Register("Relay", &service{relay: r})
}

// Run keeps the configuration, instance list and freshness up to date until ctx is
// done.
func (r *Relay) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	group.Every(listPollInterval, r.pollInstanceList)
	group.Go(r.followParent)
	group.Go(r.runReader)
	group.Every(heartbeatInterval, r.confirmRound)
	group.Wait()
}

// FreshnessStatus returns the freshness of this process's configuration, which
// determines whether the process may act on it.
func (r *Relay) FreshnessStatus() freshness.Status {
	return r.Freshness.Status(time.Now(), r.Membership.View().Zones())
}

// IsActiveReader reports whether this process is a reader that can reach the object API.
func (r *Relay) IsActiveReader() bool { return r.activeReader.Load() }

// pollInstanceList reads the changes of the instance list. Only readers and
// processes that are not in the list yet do so. The others receive the list from
// their parents.
func (r *Relay) pollInstanceList(ctx context.Context) {
	view := r.Membership.View()
	_, listed := view.Instance(r.Self.Name)
	if listed && !r.position().reader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	changes, err := r.Instances.ChangesSince(ctx, view.Version())
	if err == nil {
		r.mergeInstances(changes.Instances, changes.Version)
		r.listReadAt.Store(start.UnixNano())
	}
}

// mergeInstances merges changed records of the instance list and then updates
// whether this process is a reader.
func (r *Relay) mergeInstances(changed []membership.Instance, version int64) {
	r.Membership.Merge(changed, version)
	r.readership.update(r.position().reader)
}

// startHeartbeat starts the next heartbeat, so that this process replies to the
// pending pulls of its children.
func (r *Relay) startHeartbeat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeat++
	close(r.nextHeartbeat)
	r.nextHeartbeat = make(chan struct{})
}

// currentHeartbeat returns the current heartbeat number and a channel that is
// closed at the next heartbeat.
func (r *Relay) currentHeartbeat() (int64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heartbeat, r.nextHeartbeat
}

// pullPrefixes returns the scope prefixes to pull. It returns none, which selects
// all scopes, if this process has children.
func (r *Relay) pullPrefixes(position treePosition) []string {
	if position.hasChildren {
		return nil
	}
	return r.Prefixes
}

// pull requests the changes from a peer and merges the reply. It merges the state
// before the ages, so that the freshness never covers state that this process
// lacks.
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

// updateHasAllScopes records whether this process has every scope up to the ticket
// number of its state: false after a merge of only some scopes, true after a merge
// of all scopes up to that number.
func (r *Relay) updateHasAllScopes(all bool, upTo int64) {
	switch {
	case !all:
		r.hasAllScopes.Store(false)
	case upTo >= r.State.Snapshot().UpTo():
		r.hasAllScopes.Store(true)
	}
}

// hasAnyPrefix reports whether scope has one of the prefixes. It returns true if
// there are no prefixes.
func hasAnyPrefix(prefixes []string, scope string) bool {
	return len(prefixes) == 0 || slices.ContainsFunc(prefixes, func(prefix string) bool {
		return strings.HasPrefix(scope, prefix)
	})
}
