package connpool

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

var (
	// ErrAmbiguousFraming means that a response has both a length and a transfer encoding, so that
	// its end is uncertain.
	ErrAmbiguousFraming = errors.New("response has a length and a transfer encoding")
	// ErrInvalidStatus means that the status of a response is not that of a final response.
	ErrInvalidStatus = errors.New("response has no valid status")
	// ErrInvalidFieldName means that a line of the head is not a field with a valid name, so that
	// programs differ on what it means.
	ErrInvalidFieldName = errors.New("response has an invalid field name")
)

var (
	lengthName   = []byte("content-length")
	encodingName = []byte("transfer-encoding")
)

// checkHead waits for the head of the next response and reports ErrAmbiguousFraming,
// ErrInvalidStatus and ErrInvalidFieldName. It consumes nothing. Any other error is left to the
// parser, which does not tell about a length that it ignored, takes the status 000 for 200, accepts
// blanks in field names, and joins lines that begin with a blank.
func checkHead(reader *bufio.Reader) error {
	for wanted := 1; ; {
		if _, err := reader.Peek(wanted); err != nil {
			return nil //nolint:nilerr // the parser gets the same error
		}
		buffered, _ := reader.Peek(reader.Buffered())
		complete, err := scanHeads(buffered)
		if complete || err != nil {
			return err
		}
		wanted = len(buffered) + 1
	}
}

// scanHeads returns what is wrong about the first head other than those of responses that only ask
// to continue, and whether it is complete.
func scanHeads(data []byte) (complete bool, err error) {
	hasLength, hasEncoding, first, interim := false, false, true, false
	for {
		line, rest, found := bytes.Cut(data, []byte("\n"))
		if !found {
			return false, nil
		}
		line, data = bytes.TrimSuffix(line, []byte("\r")), rest
		name, _, hasColon := bytes.Cut(line, []byte(":"))
		switch {
		case first && len(line) == 0:
			// The parser skips empty lines before a status line.
		case first:
			status, valid := parseStatus(line)
			first, interim = false, status == fasthttp.StatusContinue
			if !interim && !valid {
				return true, ErrInvalidStatus
			}
		case len(line) > 0 && (!hasColon || !httpguts.ValidHeaderFieldName(string(name))):
			return true, ErrInvalidFieldName
		case len(line) > 0:
			hasLength = hasLength || bytes.EqualFold(name, lengthName)
			hasEncoding = hasEncoding || bytes.EqualFold(name, encodingName)
		case interim:
			hasLength, hasEncoding, first = false, false, true
		case hasLength && hasEncoding:
			return true, ErrAmbiguousFraming
		default:
			return true, nil
		}
	}
}

// maxStatus is the largest status that HTTP defines.
const maxStatus = 599

// parseStatus returns the status in a status line, and whether it is that of a final response. A
// line without any is left to the parser.
func parseStatus(line []byte) (status int, valid bool) {
	_, afterVersion, found := bytes.Cut(line, []byte(" "))
	if !found {
		return 0, true
	}
	text, _, _ := bytes.Cut(afterVersion, []byte(" "))
	status, err := fasthttp.ParseUint(text)
	if err != nil || len(text) != len("200") {
		return 0, false
	}
	return status, status >= fasthttp.StatusOK && status <= maxStatus
}
