// Package idempotency ensures that at most one attempt of a call with an
// idempotency key runs.
//
// Keys are hashed to partitions. Each partition has a journal in the object API:
// a head object with the newest keys, and sealed segments with the older ones. An
// attempt may run only after its claim has been stored by a conditional update of
// the head, so two processes can never both let attempts for the same key run.
// One process, the owner, writes the claims of a partition for all others, in
// batches. If two processes act as the owner, the conditional update still
// decides.
package idempotency

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/bytesize"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	// PartitionCount is the number of partitions, each with its own journal.
	PartitionCount = 64
	// Retention is how long a key is kept.
	Retention = 2 * time.Hour
	// sealThreshold is the size at which a head is sealed as a segment.
	sealThreshold = 128 * bytesize.KiB
	// maxSegments is the maximum number of segments listed in a head.
	maxSegments = 4096
	// maxClockSkew is the largest assumed difference between the clocks of two
	// processes. A segment is deleted this long after readers begin to accept
	// that it is missing.
	maxClockSkew = time.Minute
	// maxResultBytes is the size of the largest result, without its status, that
	// is kept in full for repeated calls.
	maxResultBytes = 2 << 10
	// entryOverheadBytes is the estimated size of an encoded entry without its
	// result.
	entryOverheadBytes = 200
)

// keyHash identifies a key in a journal. The hash is cryptographic because clients
// choose the keys.
type keyHash [16]byte

func hashKey(key string) keyHash {
	digest := weights.Sum([]byte(key))
	return keyHash(digest[:len(keyHash{})])
}

// MarshalText encodes the hash as hexadecimal digits.
func (h keyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText decodes the output of MarshalText.
func (h *keyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return errors.Newf("key hash %q has %d digits, want %d", text, len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return errors.Wrapf(err, "decode key hash %q", text)
}

// Status is the state of an attempt.
type Status string

// The states of an attempt.
const (
	// Claimed means that the attempt may run, be running or have run.
	Claimed Status = "claimed"
	// Done means that the attempt ran and its result is recorded.
	Done Status = "done"
	// Released means that the attempt has certainly not run.
	Released Status = "released"
)

// Result is the response of a call that ran.
type Result struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	// Headers are the other response headers that are returned to the client.
	Headers []upstream.Header `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
}

// headerOverheadBytes is the estimated size of an encoded header without its name
// and value.
const headerOverheadBytes = 24

// metadataBytes estimates the size of the content type and the headers.
func (r *Result) metadataBytes() int {
	total := len(r.ContentType)
	for _, header := range r.Headers {
		total += headerOverheadBytes + len(header.Name) + len(header.Value)
	}
	return total
}

// Entry is the record of one key in a journal. Body is the digest of the request,
// and At is when the key was recorded.
type Entry struct {
	Attempt string    `json:"attempt"`
	Body    string    `json:"body"`
	Status  Status    `json:"status"`
	At      time.Time `json:"at"`
	Result  *Result   `json:"result,omitempty"`
}

// encodedBytes estimates the size of the entry as encoded in an object.
func (e Entry) encodedBytes() bytesize.Bytes {
	if e.Result == nil {
		return entryOverheadBytes
	}
	return entryOverheadBytes + bytesize.Bytes(e.Result.metadataBytes()+base64.StdEncoding.EncodedLen(len(e.Result.Body)))
}

// journal is the head object of one partition. For the same key, an entry in the
// head replaces those in segments, and an entry in a later segment replaces those
// in earlier ones.
type journal struct {
	Entries map[keyHash]Entry `json:"entries"`
	// Segments lists the segments in the order in which they were sealed.
	Segments []segmentRef `json:"segments,omitempty"`
}

// segmentRef refers to a segment, an immutable object with older entries.
type segmentRef struct {
	// ID is the version of the head that was sealed. A version always has the same
	// entries, so two processes that seal it write the same object.
	ID int64 `json:"id"`
	// Newest is the time at which the newest key of the segment was recorded.
	Newest time.Time `json:"newest"`
}

// PartitionOf returns the partition of a key.
func PartitionOf(key string) int { return int(xxhash.Sum64String(key) % PartitionCount) }

func headKey(partition int) string { return fmt.Sprintf("keys/%03d", partition) }

func segmentKey(partition int, id int64) string { return fmt.Sprintf("keys/%03d/%d", partition, id) }

// full reports whether the head must be sealed before entries are added.
func (j *journal) full() bool {
	var total bytesize.Bytes
	for _, entry := range j.Entries {
		total += entry.encodedBytes()
	}
	return total >= sealThreshold
}

// newestClaimTime returns the time at which the newest key of the head was
// recorded.
func (j *journal) newestClaimTime() time.Time {
	var newest time.Time
	for _, entry := range j.Entries {
		if entry.At.After(newest) {
			newest = entry.At
		}
	}
	return newest
}

// prune deletes the entries of the head that are past their retention.
func (j *journal) prune(now time.Time) {
	for key, entry := range j.Entries {
		if now.Sub(entry.At) > Retention {
			delete(j.Entries, key)
		}
	}
}

// expired reports whether every key of the segment is past its retention.
func (s segmentRef) expired(now time.Time) bool { return now.Sub(s.Newest) > Retention }

// deletable reports whether the segment has expired by the clock of every
// process.
func (s segmentRef) deletable(now time.Time) bool { return now.Sub(s.Newest) > Retention+maxClockSkew }
