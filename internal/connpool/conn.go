package connpool

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

// readBufferBytes is enough for a response header.
const readBufferBytes = 8 << 10

// Conn is one connection to an endpoint. It carries one request at a time.
type Conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// reused is true if the connection carried an earlier request.
	reused bool
	// idleUntil is when the idle connection expires: idleMargin before the endpoint may
	// close it.
	idleUntil time.Time
	closed    atomic.Bool
}

// Reused reports whether the connection carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// Abort resets the connection and drops unacknowledged data: bytes that are delayed by a
// stalled link must not arrive after the request was abandoned. It may be called more than
// once and concurrently with other methods.
func (c *Conn) Abort() {
	if c.closed.Swap(true) {
		return
	}
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that is already broken has nothing to drop.
		_ = lingerer.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Close closes the connection. It may be called more than once and concurrently with other
// methods.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}
