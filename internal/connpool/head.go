package connpool

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
)

// ErrAmbiguousFraming means that a response has both a length and a transfer encoding, so that
// its end is uncertain.
var ErrAmbiguousFraming = errors.New("response has a length and a transfer encoding")

var (
	lengthName   = []byte("content-length")
	encodingName = []byte("transfer-encoding")
	continueLine = []byte("HTTP/1.1 100")
)

// checkFraming waits for the head of the next response and reports ErrAmbiguousFraming. It
// consumes nothing. Any other error is left to the parser, which the library's response does
// not tell about a length that it ignored.
func checkFraming(reader *bufio.Reader) error {
	for wanted := 1; ; {
		if _, err := reader.Peek(wanted); err != nil {
			return nil //nolint:nilerr // the parser gets the same error
		}
		buffered, _ := reader.Peek(reader.Buffered())
		ambiguous, complete := scanHeads(buffered)
		switch {
		case ambiguous:
			return ErrAmbiguousFraming
		case complete:
			return nil
		}
		wanted = len(buffered) + 1
	}
}

// scanHeads reports whether the first head other than those of responses that only ask to
// continue has both fields, and whether it is complete.
func scanHeads(data []byte) (ambiguous, complete bool) {
	hasLength, hasEncoding, first, interim := false, false, true, false
	for {
		line, rest, found := bytes.Cut(data, []byte("\n"))
		if !found {
			return false, false
		}
		line, data = bytes.TrimSuffix(line, []byte("\r")), rest
		name, _, _ := bytes.Cut(line, []byte(":"))
		switch {
		case first:
			first, interim = false, bytes.HasPrefix(line, continueLine)
		case len(line) > 0:
			hasLength = hasLength || bytes.EqualFold(bytes.TrimSpace(name), lengthName)
			hasEncoding = hasEncoding || bytes.EqualFold(bytes.TrimSpace(name), encodingName)
		case interim:
			hasLength, hasEncoding, first = false, false, true
		default:
			return hasLength && hasEncoding, true
		}
	}
}
