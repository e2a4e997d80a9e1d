package streamcheck_test

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/streamcheck"
)

// Guards against a token that the caller never gets: the stream broke off within its event,
// which was not passed on but counted, so that the next engine went on after it.
func TestTokenCountsOnceItsEventIsComplete(t *testing.T) {
	events := []string{chunk("r", "s", "a", "null") + "\n\n", "event: message\n" + chunk("r", "s", "b", "null") + "\n\n"}
	stream := strings.Join(events, "")
	for length := range len(stream) + 1 {
		checker := &streamcheck.Checker{RequestID: "r", Set: "s"}
		passedOn := readEvents(t, checker, stream[:length])
		if checker.Tokens() != passedOn {
			t.Errorf("after %d bytes: %d tokens counted, %d passed on", length, checker.Tokens(), passedOn)
			continue
		}
		passedOn += readEvents(t, checker, strings.Join(events[checker.Tokens():], ""))
		if passedOn != len(events) || checker.Tokens() != len(events) {
			t.Errorf("resumed after %d bytes: %d tokens counted, %d passed on, want %d", length, checker.Tokens(), passedOn, len(events))
		}
	}
}

// readEvents reads a stream until its end and returns the number of events.
func readEvents(t *testing.T, checker *streamcheck.Checker, stream string) int {
	t.Helper()
	readLine := func() ([]byte, error) {
		line, rest, found := strings.Cut(stream, "\n")
		if stream = rest; !found {
			return []byte(line), io.EOF
		}
		return []byte(line + "\n"), nil
	}
	for count := 0; ; count++ {
		if _, err := checker.Next(readLine); err != nil {
			if !errors.Is(err, streamcheck.ErrIncomplete) && !errors.Is(err, streamcheck.ErrMalformed) {
				t.Error(err)
			}
			return count
		}
	}
}
