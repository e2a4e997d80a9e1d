package relay

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
)

// errIncomplete tells a child to pull from another process for now.
var errIncomplete = errors.New("this process does not hold every scope yet")

// service answers the calls of children and other readers.
type service struct {
	relay *Relay
}

// Pull returns what changed since the child's last pull. It waits for a change
// or the next beat, at most args.Wait.
func (s *service) Pull(args *PullArgs, reply *PullReply) error {
	r := s.relay
	if !r.hasAllScopes.Load() {
		return errIncomplete
	}
	start := time.Now()
	s.waitForChange(args)
	reply.Beat, _ = r.currentHeartbeat()
	// The ages are read before the state, which only grows, so the state sent
	// covers them.
	reply.Ages = r.Freshness.Ages(time.Now())
	snapshot := r.State.Snapshot()
	reply.UpTo = snapshot.UpTo()
	reply.Entries = filterEntries(snapshot.Entries(args.UpTo), args.Prefixes)
	view := r.Membership.View()
	reply.RosterVersion = view.Version()
	reply.Instances = view.ChangedSince(args.RosterVersion)
	reply.Held = time.Since(start)
	return nil
}

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
