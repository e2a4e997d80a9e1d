package upstream

import (
	"net"
	"sync/atomic"
	"time"
)

// timedConn bounds each read: the first one after a write by first, every
// further one by idle.
type timedConn struct {
	net.Conn
	first time.Duration
	idle  time.Duration
	asked atomic.Bool
}

// Write implements net.Conn.
func (c *timedConn) Write(data []byte) (int, error) {
	c.asked.Store(true)
	if err := c.SetWriteDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Read implements net.Conn.
func (c *timedConn) Read(buffer []byte) (int, error) {
	timeout := c.idle
	if c.asked.Swap(false) {
		timeout = c.first
	}
	if err := c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}
