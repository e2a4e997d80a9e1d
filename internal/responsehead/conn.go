package responsehead

import (
	"bytes"
	"net"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the head of a response, together with those of responses that only ask to
// continue. It exceeds the buffers of the clients, which bound a single head.
const maxHeadBytes = 32 << 10

// ErrTooLarge means that the head of a response exceeds maxHeadBytes.
var ErrTooLarge = errors.Newf("head of the response exceeds %d bytes", maxHeadBytes)

// conn is a connection of an HTTP client, on which reads fail once the head of a response is
// invalid. Each write begins a request, and the first bytes read after it are a head.
type conn struct {
	net.Conn
	// awaitsHead is true from a request to the end of the head of its response.
	awaitsHead bool
	// head holds the part of the head that was read.
	head []byte
	err  error
}

// Checked returns a function that dials connections for an HTTP client that parses heads by itself
// and sends no request before the response to the one before was read. Reads fail with ErrTooLarge
// or an error of Check.
func Checked(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		dialed, err := dial(address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: dialed}, nil
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.awaitsHead, c.head = true, c.head[:0]
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(buffer)
	if !c.awaitsHead || n == 0 {
		return n, err
	}
	isFirst := len(c.head) == 0
	c.head = append(c.head, buffer[:n]...)
	var complete bool
	var headErr error
	if bytes.IndexByte(buffer[:n], '\n') >= 0 {
		complete, headErr = Check(c.head)
	}
	if headErr == nil && !complete && len(c.head) > maxHeadBytes {
		headErr = ErrTooLarge
	}
	switch {
	case headErr != nil && isFirst:
		// Clients take an error before the first byte of a response for the end of an idle
		// connection, after which they may send the request again.
		c.err = headErr
		return 1, nil
	case headErr != nil:
		c.err = headErr
		return 0, headErr
	case complete:
		c.awaitsHead, c.head = false, nil
	}
	return n, err
}
