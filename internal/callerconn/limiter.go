// Package callerconn accepts connections of clients that may not keep to any limit. It bounds
// their number, and on each one the time to send a request and the time in which nothing of a
// response is read.
package callerconn

import (
	"net"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/membudget"
)

// Limit is a limit that a client has reached.
type Limit string

// Limits, which are labels of metrics.
const (
	// TooMany means that a connection was closed because there were too many.
	TooMany Limit = "connections"
	// HeaderTime means that a header was not complete in time, BodyTime the same for a body.
	HeaderTime Limit = "headerTime"
	BodyTime   Limit = "bodyTime"
	// Unread means that too little of a response was read in time.
	Unread Limit = "unread"
)

// What a connection takes: its buffers, the contexts of the library, and the stack of its
// goroutine.
const (
	HTTPBytes    = 48 << 10
	ControlBytes = 24 << 10
)

// Limiter limits the connections of one address. Set the exported fields before the
// first call. It is safe for concurrent use.
type Limiter struct {
	// Max is the maximum number of connections.
	Max int
	// Budget bounds the memory of connections; nil means no bound.
	Budget *membudget.Budget
	// Bytes is what one connection takes of it.
	Bytes int
	// HeaderTime is the time in which a header must arrive, also the first one of a connection,
	// and IdleTime the time until the next one. 0 means no bound.
	HeaderTime func() time.Duration
	IdleTime   func() time.Duration
	// Body and Unread bound the rates of clients.
	Body   BodyRate
	Unread UnreadRate
	// OnLimit is called with each limit that a client has reached; it may be nil.
	OnLimit func(limit Limit, remote string)

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// Len returns the number of connections.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Wrap returns a listener whose connections are limited.
func (l *Limiter) Wrap(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l}
}

type limitedListener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited := l.limiter.add(conn); limited != nil {
			return limited, nil
		}
	}
}

// Buffers of the kernel for a connection. They are enough for the rate of an instance's link over
// a few milliseconds; without a bound, the kernel would hold megabytes for each slow client.
const (
	kernelReadBytes  = 64 << 10
	kernelWriteBytes = 128 << 10
)

// add returns the limited connection, or nil if there is no room for it.
func (l *Limiter) add(conn net.Conn) *Conn {
	if socket, ok := conn.(*net.TCPConn); ok {
		// Without these sizes, the kernel's own bounds apply.
		_ = socket.SetReadBuffer(kernelReadBytes)
		_ = socket.SetWriteBuffer(kernelWriteBytes)
	}
	c := &Conn{Conn: conn, limiter: l, since: time.Now()}
	if (l.hasRoom() || l.closeLeastUseful()) && (l.reserve(c) || (l.closeLeastUseful() && l.reserve(c))) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conns == nil {
			l.conns = map[*Conn]struct{}{}
		}
		l.conns[c] = struct{}{}
		return c
	}
	l.reached(TooMany, c)
	_ = conn.Close()
	return nil
}

// reserve reserves the memory of a connection and reports whether there is enough.
func (l *Limiter) reserve(c *Conn) bool {
	c.memory = l.Budget.NewUser(membudget.Connection, nil)
	return c.memory.Pin() == nil && c.memory.Resize(l.Bytes) == nil
}

// hasRoom reports whether there are fewer connections than there may be. Connections are accepted
// one after another.
func (l *Limiter) hasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.Max <= 0 || len(l.conns) < l.Max
}

// closeLeastUseful closes the connection that is given up for another one, and reports whether
// there is one.
func (l *Limiter) closeLeastUseful() bool {
	l.mu.Lock()
	closed := l.leastUseful()
	delete(l.conns, closed)
	l.mu.Unlock()
	if closed == nil {
		return false
	}
	l.reached(TooMany, closed)
	closed.Abort()
	closed.memory.Release()
	return true
}

// stallTimeout is how long a client may take for a header, for a body or to read until its connection
// may be closed for another one. Clients inside the limits take less for most requests.
const stallTimeout = time.Second

// leastUseful returns the connection to close for another one: one that is only drained, one
// without any request so far, an idle one, or one that is slow; of these, the one that has been in
// this state for the longest time. It returns nil if all others are in use.
func (l *Limiter) leastUseful() *Conn {
	now := time.Now()
	var found *Conn
	foundRank := rankInUse
	for c := range l.conns {
		rank := c.rank(now)
		if rank < foundRank || (rank == foundRank && rank < rankInUse && c.since.Before(found.since)) {
			found, foundRank = c, rank
		}
	}
	return found
}

func (l *Limiter) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// reached reports a limit that the client of a connection has reached.
func (l *Limiter) reached(limit Limit, c *Conn) {
	if l.OnLimit != nil {
		l.OnLimit(limit, c.RemoteAddr().String())
	}
}
