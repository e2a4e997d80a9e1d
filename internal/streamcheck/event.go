package streamcheck

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Next returns the lines of the next event, checked. Line returns one line of
// the stream with its line break, and io.EOF at the end; an end in place of an
// event is ErrCut.
func (c *Checker) Next(readLine func() ([]byte, error)) ([]byte, error) {
	var lines []byte
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
			return lines, nil
		}
	}
}
