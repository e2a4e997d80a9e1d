package relay

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/membership"
)

// PullArgs asks a parent for what changed.
type PullArgs struct {
	// UpTo is the ticket number up to which the child holds its scopes.
	UpTo int64
	// Prefixes are the scopes that the child acts on; none means all.
	Prefixes []string
	// RosterVersion is the instance list version that the child holds.
	RosterVersion int64
	// Beat is the parent's beat that the child saw last.
	Beat int64
	// Wait is the longest time that the parent may hold the call.
	Wait time.Duration
}

// PullReply holds what changed.
type PullReply struct {
	Beat          int64
	Held          time.Duration
	Ages          freshness.Ages
	UpTo          int64
	Entries       []desiredstate.Entry
	RosterVersion int64
	Instances     []membership.Instance
}
