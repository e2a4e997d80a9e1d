package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
)

// errIncomplete makes a child pull from another process instead.
var errIncomplete = errors.New("pull refused: this process does not have every scope yet")

// service handles the RPC calls of children and of other readers.
type service struct {
	relay *Relay
}

// Pull returns the changes since the child's last pull. It waits for a change or
// for the next heartbeat, for at most args.Wait.
func (s *service) Pull(args *PullArgs, reply *PullReply) error {
	r := s.relay
	if !r.hasAllScopes.Load() {
		return errIncomplete
	}
	start := time.Now()
	s.waitForChange(args)
	reply.Beat, _ = r.currentHeartbeat()
	// The ages are read before the state. Since the state never loses a change, the
	// snapshot that is sent covers the ages.
	reply.Ages = r.Freshness.Ages(time.Now())
	snapshot := r.State.Snapshot()
	reply.UpTo = snapshot.UpTo()
	reply.Entries = filterEntries(snapshot.EntriesAfter(args.UpTo), args.Prefixes)
	view := r.Membership.View()
	reply.RosterVersion = view.Version()
	reply.Instances = view.ChangedSince(args.RosterVersion)
	reply.Held = time.Since(start)
	return nil
}

// waitForChange waits until there is something to send to the child: a ticket after
// args.UpTo or a heartbeat other than args.Beat. It waits for at most args.Wait and
// at most pullWait.
func (s *service) waitForChange(args *PullArgs) {
	heartbeat, nextHeartbeat := s.relay.currentHeartbeat()
	changed := s.relay.State.Changed()
	if args.Wait <= 0 || heartbeat != args.Beat || s.relay.State.Snapshot().UpTo() > args.UpTo {
		return
	}
	timer := time.NewTimer(min(args.Wait, pullWait))
	defer timer.Stop()
	select {
	case <-nextHeartbeat:
	case <-changed:
	case <-timer.C:
	}
}

// filterEntries returns the entries whose scope has one of the prefixes, or all
// entries if there are no prefixes.
func filterEntries(entries []desiredstate.Entry, prefixes []string) []desiredstate.Entry {
	if len(prefixes) == 0 {
		return entries
	}
	var selected []desiredstate.Entry
	for _, entry := range entries {
		if hasAnyPrefix(prefixes, string(entry.Scope)) {
			selected = append(selected, entry)
		}
	}
	return selected
}
