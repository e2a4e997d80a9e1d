package connpool

import (
	"bufio"

	"github.com/mimosaward/mimosaward/internal/responsehead"
)

// checkHead waits for the head of the next response and checks it. It consumes nothing, and leaves
// errors of the connection to the parser.
func checkHead(reader *bufio.Reader) error {
	for wanted := 1; ; {
		if _, err := reader.Peek(wanted); err != nil {
			return nil //nolint:nilerr // the parser gets the same error
		}
		buffered, _ := reader.Peek(reader.Buffered())
		complete, err := responsehead.Check(buffered)
		if complete || err != nil {
			return err
		}
		wanted = len(buffered) + 1
	}
}
