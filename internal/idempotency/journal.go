// Package idempotency decides which one attempt of a call with an idempotency
// key may run.
//
// Keys are dealt to ranges, and each range has a journal object in the object
// API. An attempt may run only after its claim was stored by a conditional
// update of the journal, so two processes can never both let a key run. One
// process writes the claims of a range for all others, in batches; if two
// believe to do so, the conditional update still decides.
package idempotency

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// Ranges is the number of journals.
	Ranges = 64
	// Retention is how long a key is remembered.
	Retention = 2 * time.Hour
	// maxJournalEntries keeps a journal below the object API's value size.
	maxJournalEntries = 5000
	// maxResultBytes is the largest answer that is kept for repeated calls.
	maxResultBytes = 2 << 10
	keyBytes       = 16
)

// Status says how far an attempt is.
type Status string

// The statuses of a claim.
const (
	// Claimed means that the attempt may run or have run.
	Claimed Status = "claimed"
	// Done means that the attempt ran and its answer is known.
	Done Status = "done"
	// Released means that the attempt certainly did not run.
	Released Status = "released"
)

// Result is the answer of a call that ran.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
}

// Entry is one key in a journal.
type Entry struct {
	Attempt string    `json:"attempt"`
	Body    string    `json:"body"`
	Status  Status    `json:"status"`
	At      time.Time `json:"at"`
	Result  *Result   `json:"result,omitempty"`
}

// journal is the object of one range.
type journal struct {
	Entries map[string]Entry `json:"entries"`
}

// RangeOf returns the range of a key.
func RangeOf(key string) int { return int(xxhash.Sum64String(key) % Ranges) }

func journalKey(index int) string { return fmt.Sprintf("keys/%03d", index) }

// hashKey shortens a key; callers choose keys, so the hash is a strong one.
func hashKey(key string) string {
	digest := weights.Sum([]byte(key))
	return hex.EncodeToString(digest[:keyBytes])
}

// prune drops entries past the retention and reports whether there is room
// for more.
func (j *journal) prune(now time.Time) bool {
	for key, entry := range j.Entries {
		if now.Sub(entry.At) > Retention {
			delete(j.Entries, key)
		}
	}
	return len(j.Entries) < maxJournalEntries
}
