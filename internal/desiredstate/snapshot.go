// Package desiredstate maintains the configuration that a process acts on as an
// immutable snapshot of the newest state of every scope. It does no I/O.
//
// Invariant: the ticket number of a scope never decreases, and a snapshot that is
// complete up to ticket number N never loses a scope that was changed by a ticket
// up to N.
package desiredstate

import (
	"maps"
	"slices"
	"strings"

	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// Entry is the state of one scope and the number of the ticket that set it.
// Exactly one of the pointers is set.
type Entry struct {
	Scope     ticket.Scope      `json:"scope"`
	Number    int64             `json:"number"`
	Pool      *ticket.Pool      `json:"pool,omitempty"`
	Zone      *ticket.Zone      `json:"zone,omitempty"`
	Endpoint  *ticket.Endpoint  `json:"endpoint,omitempty"`
	Workspace *ticket.Workspace `json:"workspace,omitempty"`
}

// Snapshot is an immutable configuration. The zero value is an empty
// configuration.
type Snapshot struct {
	upTo    int64
	entries map[ticket.Scope]Entry
}

// UpTo returns the ticket number up to which the snapshot is complete.
func (s *Snapshot) UpTo() int64 { return s.upTo }

// Len returns the number of scopes in the snapshot.
func (s *Snapshot) Len() int { return len(s.entries) }

// Pool returns the state of the named pool.
func (s *Snapshot) Pool(name string) (ticket.Pool, bool) {
	entry, ok := s.entries[ticket.PoolScope(name)]
	if !ok || entry.Pool == nil {
		return ticket.Pool{}, false
	}
	return *entry.Pool, true
}

// PoolTicketNumber returns the number of the ticket that set the pool, or 0 if no
// ticket has set it.
func (s *Snapshot) PoolTicketNumber(name string) int64 {
	return s.entries[ticket.PoolScope(name)].Number
}

// Pools returns all pools, sorted by name.
func (s *Snapshot) Pools() []ticket.Pool {
	var pools []ticket.Pool
	for _, entry := range s.entries {
		if entry.Pool != nil {
			pools = append(pools, *entry.Pool)
		}
	}
	slices.SortFunc(pools, func(a, b ticket.Pool) int { return strings.Compare(a.Name, b.Name) })
	return pools
}

// ZoneInService reports whether the availability zone is in service. A zone that
// no ticket has set is in service.
func (s *Snapshot) ZoneInService(name string) bool {
	entry, ok := s.entries[ticket.ZoneScope(name)]
	return !ok || entry.Zone == nil || entry.Zone.InService
}

// EndpointAcceptsWork reports whether the endpoint accepts work. An endpoint that no
// ticket has set accepts work.
func (s *Snapshot) EndpointAcceptsWork(name string) bool {
	entry, ok := s.entries[ticket.EndpointScope(name)]
	return !ok || entry.Endpoint == nil || entry.Endpoint.TakesWork
}

// Workspace returns the state of the named workspace. It returns false if no ticket
// has set the workspace.
func (s *Snapshot) Workspace(name string) (ticket.Workspace, bool) {
	entry, ok := s.entries[ticket.WorkspaceScope(name)]
	if !ok || entry.Workspace == nil {
		return ticket.Workspace{}, false
	}
	return *entry.Workspace, true
}

// EntriesAfter returns the entries that were set by a ticket with a number greater
// than number, sorted by scope.
func (s *Snapshot) EntriesAfter(number int64) []Entry {
	var changed []Entry
	for _, entry := range s.entries {
		if entry.Number > number {
			changed = append(changed, entry)
		}
	}
	slices.SortFunc(changed, func(a, b Entry) int { return strings.Compare(string(a.Scope), string(b.Scope)) })
	return changed
}

// With returns a copy of the snapshot with the entries applied and complete up to
// upTo. It ignores entries that are not newer and an upTo that is lower than the
// snapshot's, so a stale sender cannot revert a change.
func (s *Snapshot) With(entries []Entry, upTo int64) *Snapshot {
	next := &Snapshot{upTo: max(s.upTo, upTo), entries: maps.Clone(s.entries)}
	if next.entries == nil {
		next.entries = make(map[ticket.Scope]Entry, len(entries))
	}
	for _, entry := range entries {
		if entry.Number > next.entries[entry.Scope].Number {
			next.entries[entry.Scope] = entry
		}
	}
	return next
}

// EntriesFromTicket returns an entry for each scope that the ticket sets.
func EntriesFromTicket(t *ticket.Ticket) []Entry {
	var entries []Entry
	for index := range t.Pools {
		entries = append(entries, Entry{Scope: ticket.PoolScope(t.Pools[index].Name), Number: t.Number, Pool: &t.Pools[index]})
	}
	for index := range t.Zones {
		entries = append(entries, Entry{Scope: ticket.ZoneScope(t.Zones[index].Name), Number: t.Number, Zone: &t.Zones[index]})
	}
	for index := range t.Endpoints {
		entries = append(entries, Entry{Scope: ticket.EndpointScope(t.Endpoints[index].Name), Number: t.Number, Endpoint: &t.Endpoints[index]})
	}
	for index := range t.Workspaces {
		entries = append(entries, Entry{Scope: ticket.WorkspaceScope(t.Workspaces[index].Name), Number: t.Number, Workspace: &t.Workspaces[index]})
	}
	return entries
}
