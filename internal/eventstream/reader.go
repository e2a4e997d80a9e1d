// Package eventstream splits a stream of server-sent events into complete events. It
// does no I/O of its own.
package eventstream

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits the memory that an endpoint can make this process allocate.
const maxEventBytes = 1 << 20

// ErrTooLarge means that an event exceeds maxEventBytes.
var ErrTooLarge = errors.New("event exceeds the size limit")

// Event is one complete event including the blank line that terminates it.
type Event struct {
	Raw []byte
	// ID is the event's numeric ID. HasID is false if the event has none.
	ID    int64
	HasID bool
}

// Reader reads the events of a stream. Set the exported field before the first
// call. It is not safe for concurrent use.
type Reader struct {
	// Read reads the next bytes of the stream. Only io.EOF marks its regular end.
	Read func(buffer []byte) (int, error)
	// Reserve reserves memory for an incomplete event with a number of bytes, and fails if there
	// is too little. It may be nil.
	Reserve func(bytes int) error

	pending []byte
	scanned int
	err     error
}

// Next returns the next event, whose bytes are valid until the next call. At the end of
// the stream it returns io.EOF, or io.ErrUnexpectedEOF if the stream ended within an
// event.
func (r *Reader) Next() (Event, error) {
	for {
		if end := eventEnd(r.pending, r.scanned); end > 0 {
			event := parse(r.pending[:end])
			r.pending, r.scanned = r.pending[end:], 0
			return event, nil
		}
		r.scanned = max(0, len(r.pending)-len(crlfTerminator))
		if r.err != nil {
			return Event{}, r.terminalError()
		}
		if err := r.fill(); err != nil {
			return Event{}, err
		}
	}
}

// Buffered reports whether Next can return an event without reading.
func (r *Reader) Buffered() bool { return eventEnd(r.pending, 0) > 0 }

func (r *Reader) terminalError() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.pending)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// readChunkBytes is the size of one read, which holds several typical events.
const readChunkBytes = 4 << 10

func (r *Reader) fill() error {
	if len(r.pending) > maxEventBytes {
		return ErrTooLarge
	}
	if r.Reserve != nil {
		if err := r.Reserve(len(r.pending) + readChunkBytes); err != nil {
			return err
		}
	}
	buffer := make([]byte, len(r.pending), len(r.pending)+readChunkBytes)
	copy(buffer, r.pending)
	n, err := r.Read(buffer[len(r.pending):cap(buffer)])
	r.pending = buffer[:len(r.pending)+n]
	r.err = err
	return nil
}

var (
	lfTerminator   = []byte("\n\n")
	crlfTerminator = []byte("\r\n\r\n")
)

// eventEnd returns the length of the first event in data including its blank line, or 0 if
// the event is incomplete. It searches for the blank line beginning at the offset from.
func eventEnd(data []byte, from int) int {
	end := 0
	if index := bytes.Index(data[from:], lfTerminator); index >= 0 {
		end = from + index + len(lfTerminator)
	}
	if index := bytes.Index(data[from:], crlfTerminator); index >= 0 && (end == 0 || from+index+len(crlfTerminator) < end) {
		end = from + index + len(crlfTerminator)
	}
	return end
}

var idField = []byte("id:")

func parse(raw []byte) Event {
	event := Event{Raw: raw}
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		event.ID, event.HasID = id, err == nil
	}
	return event
}
