package streamcheck

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// Next returns the lines of the next event, checked. Line returns one line of
// the stream with its line break, and io.EOF at the end; an end in place of an
// event is ErrCut.
func (c *Checker) Next(line func() ([]byte, error)) ([]byte, error) {
	var lines []byte
	for {
		read, err := line()
		if checkErr := c.CheckLine(read); checkErr != nil {
			return nil, checkErr
		}
		lines = append(lines, read...)
		switch {
		case errors.Is(err, io.EOF):
			return nil, ErrIncomplete
		case err != nil:
			return nil, err
		case len(bytes.TrimSpace(read)) == 0 && len(lines) > len(read):
			return lines, nil
		}
	}
}
