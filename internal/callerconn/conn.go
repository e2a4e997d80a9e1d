package callerconn

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/membudget"
)

// phase is what the server of a connection does.
type phase int

// Values of phase.
const (
	phaseNew phase = iota
	phaseHeader
	phaseBody
	phaseServing
	phaseIdle
	phaseLeaving
)

// Ranks of the connections that may be closed for others, in this order.
const (
	rankLeaving = iota
	rankNew
	rankIdle
	rankSlowHeader
	rankSlowBody
	rankUnread
	rankInUse
)

// Conn is a connection of a client. Its reads time out by the phase of the request, not by
// SetReadDeadline.
type Conn struct {
	net.Conn
	limiter *Limiter
	memory  *membudget.User

	// The following fields are protected by the limiter's mutex.

	phase phase
	// since is when the phase began.
	since time.Time
	// served is true once a request was read completely.
	served bool
	// received counts the bytes of the current body.
	received int
	// interrupted is true once the reads of the connection must fail.
	interrupted bool
	// writingSince is when the current write began, zero if there is none.
	writingSince time.Time

	// blocked is the time that writes took since the last unreadRate.MinBytes were written, and
	// written counts the bytes since then. Only Write uses them.
	blocked time.Duration
	written int
}

// Of returns the limited connection, or nil if it is not limited.
func Of(conn net.Conn) *Conn {
	limited, _ := conn.(*Conn)
	return limited
}

// Unwrap returns the connection that was accepted.
func Unwrap(conn net.Conn) net.Conn {
	if limited, ok := conn.(*Conn); ok {
		return limited.Conn
	}
	return conn
}

// rank returns how soon the connection is closed for others.
func (c *Conn) rank(now time.Time) int {
	slow := now.Sub(c.since) > stallTimeout
	switch {
	case c.phase == phaseLeaving:
		return rankLeaving
	case c.phase == phaseNew, c.phase == phaseHeader && !c.served && slow:
		return rankNew
	case c.phase == phaseIdle:
		return rankIdle
	case c.phase == phaseHeader && slow:
		return rankSlowHeader
	case c.phase == phaseBody && slow:
		return rankSlowBody
	case !c.writingSince.IsZero() && now.Sub(c.writingSince) > stallTimeout:
		return rankUnread
	default:
		return rankInUse
	}
}

// enter begins a phase. A nil connection belongs to no limiter.
func (c *Conn) enter(next phase) {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.phase, c.since = next, time.Now()
	switch next {
	case phaseBody:
		c.received = 0
	case phaseServing, phaseIdle:
		c.served = true
	case phaseLeaving:
		c.interrupted = false
	}
}

// BeginBody says that the header of a request was read and its body follows.
func (c *Conn) BeginBody() { c.enter(phaseBody) }

// BeginServing says that a request was read completely.
func (c *Conn) BeginServing() { c.enter(phaseServing) }

// BeginIdle says that the server waits for the next request.
func (c *Conn) BeginIdle() { c.enter(phaseIdle) }

// Linger makes Close wait until the client has received the last response, although it may still
// be sending: its unread data would make the kernel drop the response.
func (c *Conn) Linger() {
	c.enter(phaseLeaving)
	c.discardArriving()
}

// Interrupt makes the current read and all later ones fail.
func (c *Conn) Interrupt() {
	if c == nil {
		return
	}
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.interrupted = true
	// If this fails, so does the read.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn. The phase of the request decides instead.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// beginRead sets the deadline of the next read.
func (c *Conn) beginRead() error {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.interrupted {
		return os.ErrDeadlineExceeded
	}
	limit := time.Duration(0)
	switch c.phase {
	case phaseIdle:
		limit = l.IdleTime()
	case phaseBody:
		limit = l.Body.limit(c.received)
	case phaseNew, phaseHeader, phaseServing:
		limit = l.HeaderTime()
	case phaseLeaving:
		limit = lingerTime
	}
	deadline := time.Time{}
	if limit > 0 {
		deadline = c.since.Add(limit)
	}
	return c.Conn.SetReadDeadline(deadline)
}

// endRead records the result of a read.
func (c *Conn) endRead(n int, err error) {
	l := c.limiter
	l.mu.Lock()
	before, interrupted := c.phase, c.interrupted
	if n > 0 {
		switch c.phase {
		case phaseNew, phaseIdle:
			c.phase, c.since = phaseHeader, time.Now()
		case phaseBody:
			c.received += n
		}
	}
	l.mu.Unlock()
	if interrupted || !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	switch before {
	case phaseNew, phaseHeader:
		l.reached(HeaderTime, c)
	case phaseBody:
		l.reached(BodyTime, c)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(buffer []byte) (int, error) {
	if err := c.beginRead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(buffer)
	c.endRead(n, err)
	return n, err
}

// writeBlockBytes is the size of the parts in which a response is written.
const writeBlockBytes = 32 << 10

// Write implements net.Conn. It fails if the client reads too little.
func (c *Conn) Write(data []byte) (int, error) {
	c.setWritingSince(time.Now())
	defer c.setWritingSince(time.Time{})
	total := 0
	for {
		n, err := c.writePart(data[total:min(len(data), total+writeBlockBytes)])
		total += n
		if err != nil || total == len(data) {
			return total, err
		}
	}
}

func (c *Conn) setWritingSince(at time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writingSince = at
}

// writePart writes at least a part of the data, or fails.
func (c *Conn) writePart(data []byte) (int, error) {
	rate := c.limiter.Unread
	start := time.Now()
	if rate.Time > 0 {
		if err := c.SetWriteDeadline(start.Add(max(0, rate.Time-c.blocked))); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(data)
	if rate.Time == 0 {
		return n, err
	}
	c.blocked += time.Since(start)
	c.written += n
	if c.written >= rate.MinBytes {
		c.blocked, c.written = 0, 0
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.limiter.reached(Unread, c)
		c.Abort()
	}
	return n, err
}

const (
	// lingerTime bounds how long Close waits, and lingerBufferBytes what it reads at once.
	lingerTime        = 2 * time.Second
	lingerBufferBytes = 4 << 10
	// discardTime and discardBytes bound what is read before the response is written, and
	// discardPause is the time without data that ends it.
	discardTime  = 500 * time.Millisecond
	discardPause = 100 * time.Millisecond
	discardBytes = 256 << 10
)

// discardArriving reads what the client is sending, within bounds. A client that reads nothing
// before it has sent its body would not get the response if the buffers between are small.
func (c *Conn) discardArriving() {
	buffer := make([]byte, lingerBufferBytes)
	end := time.Now().Add(discardTime)
	for total := 0; total < discardBytes && time.Now().Before(end); {
		if err := c.Conn.SetReadDeadline(time.Now().Add(discardPause)); err != nil {
			return
		}
		n, err := c.Conn.Read(buffer)
		total += n
		if err != nil {
			return
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.limiter.mu.Lock()
	lingers := c.phase == phaseLeaving
	c.limiter.mu.Unlock()
	if lingers {
		c.awaitClient()
	}
	c.limiter.remove(c)
	c.memory.Release()
	return c.Conn.Close()
}

// awaitClient reads what the client still sends until it closes its side, for a limited time.
func (c *Conn) awaitClient() {
	c.enter(phaseLeaving)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, lingerBufferBytes)
	for {
		if _, err := c.Read(buffer); err != nil {
			if !errors.Is(err, io.EOF) {
				c.Abort()
			}
			return
		}
	}
}

// Abort resets the connection, so that reads and writes on it fail. Close must follow. It may be
// called concurrently with other methods.
func (c *Conn) Abort() {
	if c == nil {
		return
	}
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that is already broken has nothing to drop.
		_ = lingerer.SetLinger(0)
	}
	_ = c.Conn.Close()
}
