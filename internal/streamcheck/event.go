package streamcheck

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Next reads and checks the lines of the next event and returns them. ReadLine
// returns one line of the stream with its line break, and [io.EOF] at the end of
// the stream. If the stream ends before the event is complete, Next returns
// [ErrIncomplete].
func (c *Checker) Next(readLine func() ([]byte, error)) ([]byte, error) {
	var lines []byte
	c.pendingTokens = 0
	for {
		line, err := readLine()
		if checkErr := c.CheckLine(line); checkErr != nil {
			return nil, checkErr
		}
		lines = append(lines, line...)
		switch {
		case errors.Is(err, io.EOF):
			return nil, ErrIncomplete
		case err != nil:
			return nil, err
		case len(bytes.TrimSpace(line)) == 0 && len(lines) > len(line):
			c.tokens += c.pendingTokens
			return lines, nil
		}
	}
}
