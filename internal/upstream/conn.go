package upstream

import (
	"net"
	"sync/atomic"
	"time"
)

// deadlineConn sets a deadline on each read: firstByteTimeout for the first read after a
// write, and idleTimeout for every further one and for writes.
type deadlineConn struct {
	net.Conn
	firstByteTimeout time.Duration
	idleTimeout      time.Duration
	awaitingResponse atomic.Bool
}

// Write implements net.Conn.
func (c *deadlineConn) Write(data []byte) (int, error) {
	c.awaitingResponse.Store(true)
	if err := c.SetWriteDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *deadlineConn) Read(buffer []byte) (int, error) {
	timeout := c.idleTimeout
	if c.awaitingResponse.Swap(false) {
		timeout = c.firstByteTimeout
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}
