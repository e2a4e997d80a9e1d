package gateway

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// connectionTracker tracks the client connections on which a request is being read or
// handled, or its response is being written. It is safe for concurrent use.
type connectionTracker struct {
	mu          sync.Mutex
	connections map[net.Conn]struct{}
}

// setState records the new state of a connection. It implements fasthttp.Server.ConnState.
func (t *connectionTracker) setState(conn net.Conn, state fasthttp.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state != fasthttp.StateActive {
		delete(t.connections, conn)
		return
	}
	if t.connections == nil {
		t.connections = map[net.Conn]struct{}{}
	}
	t.connections[conn] = struct{}{}
}

// active returns the number of tracked connections.
func (t *connectionTracker) active() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.connections)
}
