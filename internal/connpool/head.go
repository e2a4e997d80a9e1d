package connpool

import (
	"bufio"
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

var (
	// ErrAmbiguousFraming means that the end of a response is uncertain: it has a transfer encoding
	// and a length, or one that its version of HTTP does not have.
	ErrAmbiguousFraming = errors.New("response has an ambiguous framing")
	// ErrInvalidStatusLine means that a response does not begin with a status line of HTTP/1.1 or
	// HTTP/1.0.
	ErrInvalidStatusLine = errors.New("response has no valid status line")
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

// checkHead waits for the head of the next response and reports what is wrong about it that the
// parser accepts: the parser does not tell about a length that it ignored, takes the status 000 for
// 200, passes on any version and phrase, accepts blanks in field names, and joins lines that begin
// with a blank. It consumes nothing. Any other error is left to the parser.
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
	var status statusLine
	hasLength, hasEncoding, first := false, false, true
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
			first = false
			if status, err = parseStatusLine(line); err != nil {
				return true, err
			}
		case len(line) > 0 && (!hasColon || !httpguts.ValidHeaderFieldName(string(name))):
			return true, ErrInvalidFieldName
		case len(line) > 0:
			hasLength = hasLength || bytes.EqualFold(name, lengthName)
			hasEncoding = hasEncoding || bytes.EqualFold(name, encodingName)
		case status.interim:
			hasLength, hasEncoding, first = false, false, true
		case hasEncoding && (hasLength || status.unchunked):
			return true, ErrAmbiguousFraming
		default:
			return true, nil
		}
	}
}

// maxStatus is the largest status that HTTP defines.
const maxStatus = 599

// statusLine is what a status line says about the rest of the response.
type statusLine struct {
	// interim is true if another response follows this one.
	interim bool
	// unchunked is true if the version of HTTP has no chunks.
	unchunked bool
}

// parseStatusLine parses a status line, which may lack the phrase and the blank before it.
func parseStatusLine(line []byte) (statusLine, error) {
	version, afterVersion, _ := bytes.Cut(line, []byte(" "))
	text, phrase, _ := bytes.Cut(afterVersion, []byte(" "))
	unchunked := string(version) == "HTTP/1.0"
	if (!unchunked && string(version) != "HTTP/1.1") || !httpguts.ValidHeaderFieldValue(string(phrase)) {
		return statusLine{}, ErrInvalidStatusLine
	}
	status, err := fasthttp.ParseUint(text)
	interim := status == fasthttp.StatusContinue
	if err != nil || len(text) != len("200") || (!interim && (status < fasthttp.StatusOK || status > maxStatus)) {
		return statusLine{}, ErrInvalidStatus
	}
	return statusLine{interim: interim, unchunked: unchunked}, nil
}
