package relay

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/membership"
)

// PullArgs requests the changes since the child's last pull.
type PullArgs struct {
	// UpTo is the ticket number up to which the child's scopes are complete.
	UpTo int64
	// Prefixes select the scopes that the child requests. If empty, the child
	// requests all scopes.
	Prefixes []string
	// RosterVersion is the version of the child's instance list.
	RosterVersion int64
	// Beat is the last heartbeat number that the child received from the parent.
	Beat int64
	// Wait is the maximum time for which the parent may delay its reply.
	Wait time.Duration
}

// PullReply contains the changes since the child's last pull. Held is the time for
// which the parent delayed the reply.
type PullReply struct {
	Beat          int64
	Held          time.Duration
	Ages          freshness.Ages
	UpTo          int64
	Entries       []desiredstate.Entry
	RosterVersion int64
	Instances     []membership.Instance
}
