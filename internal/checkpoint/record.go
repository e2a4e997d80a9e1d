// Package checkpoint keeps a small record in the object store that outlives all gateways: what they
// know about the crashes of engines, and which revisions the store had reached at which time. One
// gateway at a time writes it. The package decides nothing about requests.
package checkpoint

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/quarantine"
)

// Kind is the kind of the record's object in the object store, and Name its name.
const (
	Kind = "checkpoints"
	Name = "gateways"
)

// maxMarks limits the marks in a record to the newest ones.
const maxMarks = 8

// Record is the value of the object.
type Record struct {
	// WrittenUnixMilli is a time of day right before the record was written.
	WrittenUnixMilli int64 `json:"writtenUnixMilli"`
	// Marks are earlier writes, in ascending order.
	Marks      []Mark      `json:"marks"`
	Crashes    []crash     `json:"crashes"`
	Rejections []rejection `json:"rejections"`
}

// Mark tells that a revision of the store was written after a time of day.
type Mark struct {
	Revision  int64 `json:"revision"`
	UnixMilli int64 `json:"unixMilli"`
}

// crash describes the end of an engine; see quarantine.Crash.
type crash struct {
	Endpoint    string   `json:"endpoint"`
	Incarnation int64    `json:"incarnation"`
	AgeMilli    int64    `json:"ageMilli"`
	Parts       []string `json:"parts"`
	Cleared     []string `json:"cleared"`
	Proven      []string `json:"proven"`
	Reporter    string   `json:"reporter"`
}

// rejection describes a rejected part; see quarantine.Rejection.
type rejection struct {
	Part           string `json:"part"`
	Strikes        int    `json:"strikes"`
	RemainingMilli int64  `json:"remainingMilli"`
	Lifted         bool   `json:"lifted"`
	By             string `json:"by"`
}

// newRecord returns a record with what a gateway knows.
func newRecord(digest quarantine.Digest, marks []Mark, now time.Time) Record {
	record := Record{WrittenUnixMilli: now.UnixMilli(), Marks: marks}
	for _, known := range digest.Crashes {
		record.Crashes = append(record.Crashes, crash{
			Endpoint: known.Endpoint, Incarnation: known.Incarnation, AgeMilli: known.Age.Milliseconds(), Parts: known.Parts, Cleared: known.Cleared,
			Proven: known.Proven, Reporter: known.Reporter,
		})
	}
	for _, known := range digest.Rejections {
		record.Rejections = append(record.Rejections, rejection{
			Part: known.Part, Strikes: known.Strikes, RemainingMilli: known.Remaining.Milliseconds(), Lifted: known.Lifted, By: known.By,
		})
	}
	return record
}

// decode returns the record in the value of an object.
func decode(value []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(value, &record); err != nil {
		return Record{}, errors.Wrap(err, "decode the checkpoint")
	}
	if record.WrittenUnixMilli <= 0 {
		return Record{}, errors.Newf("the checkpoint has the invalid time %d", record.WrittenUnixMilli)
	}
	record.Marks = record.Marks[max(0, len(record.Marks)-maxMarks):]
	return record, nil
}

// digest returns what the writer knew, aged by the time since.
func (r *Record) digest(now time.Time) quarantine.Digest {
	since := max(0, now.Sub(time.UnixMilli(r.WrittenUnixMilli)))
	var digest quarantine.Digest
	for _, known := range r.Crashes {
		digest.Crashes = append(digest.Crashes, quarantine.Crash{
			Endpoint: known.Endpoint, Incarnation: known.Incarnation, Age: time.Duration(known.AgeMilli)*time.Millisecond + since, Parts: known.Parts,
			Cleared: known.Cleared, Proven: known.Proven, Reporter: known.Reporter,
		})
	}
	for _, known := range r.Rejections {
		if known.Part == "" || known.Strikes <= 0 {
			continue
		}
		digest.Rejections = append(digest.Rejections, quarantine.Rejection{
			Part: known.Part, Strikes: known.Strikes, Remaining: time.Duration(known.RemainingMilli)*time.Millisecond - since, Lifted: known.Lifted, By: known.By,
		})
	}
	return digest
}
