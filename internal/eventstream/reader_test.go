package eventstream_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/eventstream"
)

// readEvents returns the events of a stream, their IDs, and the error that ended it.
func readEvents(source io.Reader) (events []string, ids []int64, readErr error) {
	reader := eventstream.Reader{Read: source.Read}
	for {
		event, err := reader.Next()
		if err != nil {
			return events, ids, err
		}
		events = append(events, string(event.Raw))
		if event.HasID {
			ids = append(ids, event.ID)
		}
	}
}

// TestReadEvents verifies that events are returned complete regardless of how the stream is
// split into reads.
func TestReadEvents(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
	want := []string{"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", "data: c\n\n"}
	for name, source := range map[string]io.Reader{
		"at once":            strings.NewReader(text),
		"byte by byte":       iotest.OneByteReader(strings.NewReader(text)),
		"last read with EOF": iotest.DataErrReader(strings.NewReader(text)),
	} {
		events, ids, err := readEvents(source)
		if diff := cmp.Diff(want, events); diff != "" {
			t.Errorf("%s: events (-want +got):\n%s", name, diff)
		}
		if diff := cmp.Diff([]int64{1, 2}, ids); diff != "" {
			t.Errorf("%s: IDs (-want +got):\n%s", name, diff)
		}
		if !errors.Is(err, io.EOF) {
			t.Errorf("%s: ended with %v, want io.EOF", name, err)
		}
	}
}

// TestTruncatedEvent verifies that a stream that ends within an event is reported as
// truncated, and that the incomplete event is not returned.
func TestTruncatedEvent(t *testing.T) {
	events, _, err := readEvents(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	if diff := cmp.Diff([]string{"id: 1\ndata: a\n\n"}, events); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("ended with %v, want io.ErrUnexpectedEOF", err)
	}
}

// TestEventTooLarge verifies that an event without an end fails with ErrTooLarge.
func TestEventTooLarge(t *testing.T) {
	endless := iotest.TimeoutReader(strings.NewReader(strings.Repeat("data: x\n", 1<<18)))
	reader := eventstream.Reader{Read: func(buffer []byte) (int, error) {
		n, _ := endless.Read(buffer)
		return max(n, 1), nil
	}}
	if _, err := reader.Next(); !errors.Is(err, eventstream.ErrTooLarge) {
		t.Errorf("got %v, want ErrTooLarge", err)
	}
}
