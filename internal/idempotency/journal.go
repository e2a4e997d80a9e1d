// Package idempotency decides which one attempt of a call with an idempotency
// key may run.
//
// Keys are dealt to ranges, and each range has a journal in the object API: a
// head object with the newest keys, and sealed segments with the older ones. An
// attempt may run only after its claim was stored by a conditional update of
// the head, so two processes can never both let a key run. One process writes
// the claims of a range for all others, in batches; if two believe to do so, the
// conditional update still decides.
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
	// PartitionCount is the number of journals.
	PartitionCount = 64
	// Retention is how long a key is remembered.
	Retention = 2 * time.Hour
	// sealThreshold is the size of a head from which it is sealed as a segment.
	sealThreshold = 128 * bytesize.KiB
	// maxSegments bounds the list of segments in the head.
	maxSegments = 4096
	// maxClockSkew is the largest difference between the clocks of two processes.
	// A segment is deleted that much later than it may be missing.
	maxClockSkew = time.Minute
	// maxResultBytes is the largest answer that is kept for repeated calls.
	maxResultBytes = 2 << 10
	// entryOverheadBytes is the size of an encoded entry without its answer.
	entryOverheadBytes = 200
)

// keyHash identifies a key in a journal. Callers choose keys, so the hash is a
// strong one.
type keyHash [16]byte

func hashKey(key string) keyHash {
	digest := weights.Sum([]byte(key))
	return keyHash(digest[:len(keyHash{})])
}

// MarshalText writes the hash as hexadecimal digits.
func (h keyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText reads what MarshalText wrote.
func (h *keyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return errors.Newf("key hash %q has %d digits, want %d", text, len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return errors.Wrapf(err, "decode key hash %q", text)
}

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
	// Headers are the other headers that go on to the caller.
	Headers []upstream.Header `json:"headers,omitempty"`
	Body    []byte            `json:"body,omitempty"`
}

// headerOverheadBytes is the size of an encoded header without its name and value.
const headerOverheadBytes = 24

// metadataBytes returns the size of everything but the body.
func (r *Result) metadataBytes() int {
	total := len(r.ContentType)
	for _, header := range r.Headers {
		total += headerOverheadBytes + len(header.Name) + len(header.Value)
	}
	return total
}

// Entry is one key in a journal.
type Entry struct {
	Attempt string    `json:"attempt"`
	Body    string    `json:"body"`
	Status  Status    `json:"status"`
	At      time.Time `json:"at"`
	Result  *Result   `json:"result,omitempty"`
}

// encodedBytes estimates the size of the entry in its object.
func (e Entry) encodedBytes() bytesize.Bytes {
	if e.Result == nil {
		return entryOverheadBytes
	}
	return entryOverheadBytes + bytesize.Bytes(e.Result.metadataBytes()+base64.StdEncoding.EncodedLen(len(e.Result.Body)))
}

// journal is the head object of one range. An entry of the head replaces those
// of the same key in segments, and one of a later segment those of earlier ones.
type journal struct {
	Entries map[keyHash]Entry `json:"entries"`
	// Segments are in the order in which they were sealed.
	Segments []segmentRef `json:"segments,omitempty"`
}

// segmentRef names an object with older entries, which never changes.
type segmentRef struct {
	// ID is the version of the head that was sealed. The entries of a version
	// are always the same, so two processes that seal it write the same object.
	ID int64 `json:"id"`
	// Newest is when the newest of its keys was claimed.
	Newest time.Time `json:"newest"`
}

// PartitionOf returns the range of a key.
func PartitionOf(key string) int { return int(xxhash.Sum64String(key) % PartitionCount) }

func headObjectKey(partition int) string { return fmt.Sprintf("keys/%03d", partition) }

func segmentObjectKey(partition int, id int64) string {
	return fmt.Sprintf("keys/%03d/%d", partition, id)
}

// full reports whether the head must be sealed before it takes more.
func (j *journal) full() bool {
	var total bytesize.Bytes
	for _, entry := range j.Entries {
		total += entry.encodedBytes()
	}
	return total >= sealThreshold
}

// newestClaimTime returns when the newest key of the head was claimed.
func (j *journal) newestClaimTime() time.Time {
	var newest time.Time
	for _, entry := range j.Entries {
		if entry.At.After(newest) {
			newest = entry.At
		}
	}
	return newest
}

// prune drops the entries of the head that are past the retention.
func (j *journal) prune(now time.Time) {
	for key, entry := range j.Entries {
		if now.Sub(entry.At) > Retention {
			delete(j.Entries, key)
		}
	}
}

// expired reports whether every key of the segment is past the retention.
func (s segmentRef) expired(now time.Time) bool { return now.Sub(s.Newest) > Retention }

// deletable reports whether the segment is expired by the clock of every
// process.
func (s segmentRef) deletable(now time.Time) bool { return now.Sub(s.Newest) > Retention+maxClockSkew }
