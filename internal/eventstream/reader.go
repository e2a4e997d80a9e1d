// Package eventstream splits a stream of server-sent events into whole events. It
// does no I/O of its own.
package eventstream

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds what an endpoint can make this process hold.
const maxEventBytes = 1 << 20

// ErrTooLarge means that an event has more than maxEventBytes bytes.
var ErrTooLarge = errors.New("event is too large")

// Event is one whole event with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's number, and Numbered false if it has none.
	ID    int64
	HasID bool
}

// Reader returns the events of a stream. Set the exported field before the first
// call. It is not safe for concurrent use.
type Reader struct {
	// Read reads the next bytes of the stream. Only io.EOF ends it.
	Read func(buffer []byte) (int, error)

	pending []byte
	scanned int
	err     error
}

// Next returns the next event. Its bytes are valid until the next call. At the
// end it returns io.EOF, or io.ErrUnexpectedEOF if the stream ended within an
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

// Buffered reports whether a whole event can be returned without reading.
func (r *Reader) Buffered() bool { return eventEnd(r.pending, 0) > 0 }

func (r *Reader) terminalError() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.pending)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// readChunkBytes is how much is read at a time: several usual events.
const readChunkBytes = 4 << 10

func (r *Reader) fill() error {
	if len(r.pending) > maxEventBytes {
		return ErrTooLarge
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

// eventEnd returns the length of the first event with its blank line, 0 if it is
// not whole.
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
