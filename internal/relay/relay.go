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
	// beatInterval is the time between two waves of freshness down the tree.
	beatInterval = time.Second
	// watchWait is how long one watch of the object API waits.
	watchWait = 500 * time.Millisecond
	// watchSlack is added to the wait before a watch counts as failed. A store
	// that hangs must be noticed before the last confirmation is too old.
	watchSlack = 700 * time.Millisecond
	// quietVouchRounds is the number of beats between two rounds of vouching
	// with other zones while the object API confirms.
	quietVouchRounds = 5
	// storeTimeout bounds one call of the object API.
	storeTimeout = 2 * time.Second
	// pullWait is how long a parent holds a pull.
	pullWait = 1200 * time.Millisecond
	// pullSlack is added to the wait before a parent counts as unreachable.
	pullSlack = 300 * time.Millisecond
	// returnInterval is the time after which a child tries its preferred parent
	// again.
	returnInterval = 10 * time.Second
	// minPullInterval bounds the pulls of a child whose parent answers at once.
	minPullInterval = 50 * time.Millisecond
	// vouchTimeout bounds a pull between readers.
	vouchTimeout = 400 * time.Millisecond
	// listInterval is the time between two reads of the instance list.
	listInterval = time.Second
	// retryPause is the pause after a failed pull from every parent.
	retryPause = 100 * time.Millisecond
)

// Relay keeps a process's configuration, instance list and freshness up to
// date and passes them on. Set the exported fields before Run.
type Relay struct {
	Self      membership.Instance
	State     *desiredstate.Store
	Membership    *membership.Store
	Freshness *freshness.Tracker
	Desk      *ticketstore.Desk
	Instances *platformclient.InstanceList
	Control   *controlrpc.Client
	Log       *event.Logger
	// Prefixes are the scopes that this process acts on; none means all.
	Prefixes []string

	mu         sync.Mutex
	beat       int64
	beaten     chan struct{}
	complete   atomic.Bool
	reading    atomic.Bool
	peers      peerProgress
	readership readership
	placed     atomic.Pointer[placed]
	// listRead is when the instance list was read last, in Unix nanoseconds.
	listRead atomic.Int64
	// vouches counts the rounds; only vouch uses it.
	vouches int
}

// Register adds the relay's calls to a server.
func (r *Relay) Register(server *controlrpc.Server) error {
	r.mu.Lock()
	r.beaten = make(chan struct{})
	r.mu.Unlock()
	return server.Register("Relay", &service{relay: r})
}

// Run keeps everything up to date until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	group.Every(listInterval, r.readList)
	group.Go(r.follow)
	group.Go(r.read)
	group.Every(beatInterval, r.vouch)
	group.Wait()
}

// FreshnessStatus returns whether this process may act on its configuration.
func (r *Relay) FreshnessStatus() freshness.Status {
	return r.Freshness.Status(time.Now(), r.Membership.View().Zones())
}

// ReadsStore reports whether this process is a reader that reaches the store.
func (r *Relay) ReadsStore() bool { return r.reading.Load() }

// readList polls the instance list. Only readers and processes that are not in
// the list yet do so; the others learn it from their parents.
func (r *Relay) readList(ctx context.Context) {
	view := r.Membership.View()
	_, listed := view.Instance(r.Self.Name)
	if listed && !r.place().reader {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	changes, err := r.Instances.Since(ctx, view.Version())
	if err == nil {
		r.mergeRoster(changes.Instances, changes.Version)
		r.listRead.Store(start.UnixNano())
	}
}

// mergeRoster adds records of the instance list and looks up whether this
// process is a reader now.
func (r *Relay) mergeRoster(changed []membership.Instance, version int64) {
	r.Membership.Merge(changed, version)
	r.readership.observe(r.place().reader)
}

// advance starts a new beat, which answers the waiting children.
func (r *Relay) advance() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beat++
	close(r.beaten)
	r.beaten = make(chan struct{})
}

func (r *Relay) currentBeat() (int64, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.beat, r.beaten
}

// wanted returns the scope prefixes to pull: all of them if other processes
// pull from this one.
func (r *Relay) wanted(at place) []string {
	if at.relays {
		return nil
	}
	return r.Prefixes
}

// pull asks one peer for what changed and merges the answer. The state is
// merged before the ages, so that freshness never covers what is not held.
func (r *Relay) pull(ctx context.Context, peer membership.Instance, prefixes []string, beat int64, wait, timeout time.Duration) (*PullReply, error) {
	upTo := r.State.Snapshot().UpTo()
	if len(prefixes) == 0 && !r.complete.Load() {
		upTo = 0
	}
	args := &PullArgs{
		UpTo:          upTo,
		Prefixes:      prefixes,
		RosterVersion: r.Membership.View().Version(),
		Beat:          beat,
		Wait:          wait,
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := &PullReply{}
	start := time.Now()
	if err := r.Control.Call(ctx, peer.ControlAddress, "Relay.Pull", args, reply); err != nil {
		return nil, err
	}
	r.merge(reply.Entries, reply.UpTo)
	r.noteScopes(len(prefixes) == 0, reply.UpTo)
	r.mergeRoster(reply.Instances, reply.RosterVersion)
	r.Freshness.Merge(reply.Ages, start.Add(reply.Held))
	return reply, nil
}

func (r *Relay) merge(entries []desiredstate.Entry, upTo int64) {
	if r.State.Merge(entries, upTo) {
		r.Log.Emit(event.TicketsApplied, event.Fields{"upTo": upTo, "scopes": len(entries)})
	}
}

// noteScopes records whether this process holds every scope up to the number
// that its state claims: false after a merge of only some scopes, true after a
// merge of all scopes up to that number.
func (r *Relay) noteScopes(all bool, upTo int64) {
	switch {
	case !all:
		r.complete.Store(false)
	case upTo >= r.State.Snapshot().UpTo():
		r.complete.Store(true)
	}
}

func selects(prefixes []string, scope string) bool {
	return len(prefixes) == 0 || slices.ContainsFunc(prefixes, func(prefix string) bool {
		return strings.HasPrefix(scope, prefix)
	})
}
