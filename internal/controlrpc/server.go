package controlrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/membudget"
)

// maxConnections is the maximum number of open connections of a server.
const maxConnections = 1024

// Server handles calls from other processes of the system. Register services
// and set the exported fields before calling Run.
type Server struct {
	// OnPanic reports a call that panicked, with its method and stack. The caller receives an
	// error in any case, and the server keeps serving.
	OnPanic func(method string, value any, stack []byte)
	// Limiter limits the connections and the time in which a call must arrive, and Budget the
	// memory of all calls; both may be nil.
	Limiter *callerconn.Limiter
	Budget  *membudget.Budget

	rpc *rpc.Server

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	received atomic.Int64
	sent     atomic.Int64
}

// Bytes returns the bytes received and sent.
func (s *Server) Bytes() (received, sent int64) { return s.received.Load(), s.sent.Load() }

// NewServer returns a server with no registered services.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
}

// Register publishes the exported methods of service under name.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Run accepts and serves connections from listener until ctx is done or Accept
// fails.
func (s *Server) Run(ctx context.Context, listener net.Listener) {
	group := concurrency.NewGroup(ctx)
	if s.Limiter != nil {
		listener = s.Limiter.Wrap(listener)
	}
	group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
		s.closeAll()
	})
	for {
		conn, err := listener.Accept()
		if err != nil {
			break
		}
		if !s.add(conn) {
			_ = conn.Close()
			continue
		}
		group.Go(func(ctx context.Context) {
			defer s.remove(conn)
			s.serveConn(ctx, conn)
		})
	}
	group.Stop()
	group.Wait()
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	counting := &countingConn{Conn: conn, sent: &s.sent}
	limited := callerconn.Of(conn)
	// The connection is closed in any case once a read on it fails.
	memory := &connMemory{evict: func() { _ = callerconn.Unwrap(conn).Close() }}
	memory.user = s.Budget.NewUser(membudget.Message, memory.evict)
	defer memory.user.Release()
	served := &serverConn{
		codec: newServerCodec(counting, func(n int) { s.received.Add(int64(n)) }, memory), server: s, limited: limited, memory: memory, calls: concurrency.NewGroup(ctx),
	}
	served.serve()
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= maxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
