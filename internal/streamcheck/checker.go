// Package streamcheck checks that a streamed response is complete, belongs to its
// request and was generated from the weight set that the request was admitted
// with. Every hop runs the same checks.
package streamcheck

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"
)

// Errors of the checks.
var (
	// ErrWrongRequest means that the response belongs to another request.
	ErrWrongRequest = errors.New("answer belongs to another request")
	// ErrWrongSet means that the response was generated from another weight set.
	ErrWrongSet = errors.New("answer was made from another weight set")
	// ErrIncomplete means that the stream ended early: without its end marker, with
	// an end marker before the finish reason, or with an error event.
	ErrIncomplete = errors.New("stream ended without its end marker")
	// ErrMalformed means that an event is not a chat completion chunk, or that a line belongs
	// to no event.
	ErrMalformed = errors.New("event is not a chat completion chunk")
)

var (
	dataPrefix  = []byte("data:")
	errorPrefix = []byte("event: error")
	endMarker   = []byte("[DONE]")
)

// Checker checks the events of one stream in order. Set the exported fields
// before the first event. It is not safe for concurrent use.
type Checker struct {
	// RequestID is the ID that every event must have.
	RequestID string
	// Set is the digest of the weight set that every event must name.
	Set string

	tokens int
	// pendingTokens are the tokens of the event whose end has not been received.
	pendingTokens int
	finished      bool
	ended         bool
}

// completionChunk holds the fields of a chat completion chunk that are checked.
type completionChunk struct {
	ID                string `json:"id"`
	SystemFingerprint string `json:"system_fingerprint"`
	Choices           []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Tokens returns the number of events with text that Next returned. Each such event
// counts as one token.
func (c *Checker) Tokens() int { return c.tokens }

// Ended reports whether the end marker was received after the finish reason.
func (c *Checker) Ended() bool { return c.ended }

// CheckLine checks one line of the stream.
func (c *Checker) CheckLine(line []byte) error {
	line = bytes.TrimSpace(line)
	if bytes.Equal(line, errorPrefix) {
		return ErrIncomplete
	}
	data, isData := bytes.CutPrefix(line, dataPrefix)
	if !isData {
		return checkOtherLine(line)
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, endMarker) {
		if !c.finished {
			return ErrIncomplete
		}
		c.ended = true
		return nil
	}
	return c.checkEvent(data)
}

// otherPrefixes are the beginnings of the lines of an event stream without data. A line that
// begins with a colon is a comment.
var otherPrefixes = [][]byte{[]byte(":"), []byte("event:"), []byte("id:"), []byte("retry:")}

// checkOtherLine checks a line without data. Any line that is not part of an event stream is
// from something else, such as the text of an error.
func checkOtherLine(line []byte) error {
	if len(line) == 0 || slices.ContainsFunc(otherPrefixes, func(prefix []byte) bool { return bytes.HasPrefix(line, prefix) }) {
		return nil
	}
	return ErrMalformed
}

func (c *Checker) checkEvent(data []byte) error {
	var chunk completionChunk
	if err := json.Unmarshal(data, &chunk); err != nil || len(chunk.Choices) == 0 {
		return ErrMalformed
	}
	switch {
	case chunk.ID != c.RequestID:
		return ErrWrongRequest
	case chunk.SystemFingerprint != c.Set:
		return ErrWrongSet
	}
	if chunk.Choices[0].Delta.Content != "" {
		c.pendingTokens++
	}
	c.finished = c.finished || chunk.Choices[0].FinishReason != nil
	return nil
}
