// Package ticketstore stores tickets in the object API: it owns their keys, the
// acceptance of new ones, checkpoints and acknowledgements.
//
// A ticket is one object, created on the condition that it does not exist yet.
// That conditional create decides races between operators: number N has one
// winner. Tickets are totally ordered, so one number tells how much of the
// configuration a process holds.
package ticketstore

import (
	"fmt"
	"strings"
	"time"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// Prefixes and keys in the object API.
const (
	// TicketPrefix precedes the number of a ticket.
	TicketPrefix = "tickets/"
	// AckPrefix precedes the name of an availability zone.
	AckPrefix     = "acks/"
	checkpointKey = "checkpoint"
	// partPrefix precedes the ticket number and the number of a part.
	partPrefix = "checkpointParts/"
)

// Record is a ticket as it is stored. OperationID identifies the write, so that
// its writer recognizes it when the store's answer was lost.
type Record struct {
	OperationID string        `json:"operationId"`
	FiledAt     time.Time     `json:"filedAt"`
	Ticket      ticket.Ticket `json:"ticket"`
}

// Ack says that the readers of a zone hold every ticket up to UpTo.
type Ack struct {
	Zone     string    `json:"zone"`
	Instance string    `json:"instance"`
	UpTo     int64     `json:"upTo"`
	At       time.Time `json:"at"`
}

// checkpoint names the parts that hold the whole configuration up to one ticket.
type checkpoint struct {
	UpTo  int64 `json:"upTo"`
	Parts int   `json:"parts"`
}

// checkpointPart is an object with some scopes of a checkpoint. The parts of one
// ticket number are always the same, since tickets are totally ordered.
type checkpointPart struct {
	Entries []desiredstate.Entry `json:"entries"`
}

// TicketKey returns the key of a ticket; keys sort like numbers.
func TicketKey(number int64) string { return fmt.Sprintf("%s%012d", TicketPrefix, number) }

func partKey(upTo int64, part int) string { return fmt.Sprintf("%s%012d/%03d", partPrefix, upTo, part) }

func isTicketKey(key string) bool { return strings.HasPrefix(key, TicketPrefix) }
