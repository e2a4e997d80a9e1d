// Package responsehead checks the heads of HTTP responses before they are parsed. It owns what
// makes a head valid, and takes no value from it: that is left to the parser, which accepts heads
// that other programs take for something else.
package responsehead

import (
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

// Check reports whether data begins with the complete head of a final response, which heads of
// responses that only ask to continue may precede, and what is wrong about these heads that the
// parser accepts: the parser does not tell about a length that it ignored, takes the status 000 for
// 200, passes on any version and phrase, accepts blanks in field names, and joins lines that begin
// with a blank.
func Check(data []byte) (complete bool, err error) {
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
