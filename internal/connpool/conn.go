package connpool

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"
)

// readBufferBytes holds the header of an answer.
const readBufferBytes = 8 << 10

// Conn is one connection to an endpoint. It carries one request at a time.
type Conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// reused is true if the connection carried an earlier request.
	reused bool
	// idleUntil is when the other side may close the idle connection.
	idleUntil time.Time
	closed    atomic.Bool
}

// Reused reports whether the connection carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// abort closes the connection and drops what has not reached the other side: bytes that
// a stalled link holds up must not arrive after the request was given up.
func (c *Conn) abort() {
	if c.closed.Swap(true) {
		return
	}
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that is broken already has nothing to drop.
		_ = lingerer.SetLinger(0)
	}
	_ = c.Conn.Close()
}

// Close closes the connection, and may be called more than once and from another
// goroutine.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	return c.Conn.Close()
}
