// Package ticketstore stores tickets, checkpoints and acknowledgements in the
// object API. It defines their keys and decides whether a new ticket is filed.
//
// Each ticket is one object, which is created only if it does not exist yet. This
// conditional create resolves races between operators: each ticket number is
// assigned exactly once. Tickets are totally ordered, so a single number describes
// how much of the configuration a process has.
package ticketstore

import (
	"fmt"
	"strings"
	"time"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// Keys in the object API, and prefixes of keys.
const (
	// TicketPrefix is followed by the number of a ticket.
	TicketPrefix = "tickets/"
	// AckPrefix is followed by the name of an availability zone.
	AckPrefix     = "acks/"
	checkpointKey = "checkpoint"
	// partPrefix is followed by the ticket number of a checkpoint and the number of
	// a part.
	partPrefix = "checkpointParts/"
)

// Record is a stored ticket. OperationID identifies the write, so that the writer
// recognizes its own record after the response of the store was lost.
type Record struct {
	OperationID string        `json:"operationId"`
	FiledAt     time.Time     `json:"filedAt"`
	Ticket      ticket.Ticket `json:"ticket"`
}

// Ack is the acknowledgement that the readers of a zone have every ticket up to
// UpTo.
type Ack struct {
	Zone     string    `json:"zone"`
	Instance string    `json:"instance"`
	UpTo     int64     `json:"upTo"`
	At       time.Time `json:"at"`
}

// checkpoint identifies the parts that contain the whole configuration up to the
// ticket UpTo.
type checkpoint struct {
	UpTo  int64 `json:"upTo"`
	Parts int   `json:"parts"`
}

// checkpointPart is an object with some of the entries of a checkpoint. All
// processes compute the same parts for a ticket number, since tickets are totally
// ordered.
type checkpointPart struct {
	Entries []desiredstate.Entry `json:"entries"`
}

// TicketKey returns the key of a ticket. Keys sort in the order of the numbers.
func TicketKey(number int64) string { return fmt.Sprintf("%s%012d", TicketPrefix, number) }

func partKey(upTo int64, part int) string { return fmt.Sprintf("%s%012d/%03d", partPrefix, upTo, part) }

func isTicketKey(key string) bool { return strings.HasPrefix(key, TicketPrefix) }
