package controlrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// maxConnections bounds the connections that a server holds.
const maxConnections = 1024

// Server answers calls of the system's other processes. Register services
// before Run.
type Server struct {
	rpc *rpc.Server

	mu          sync.Mutex
	connections map[net.Conn]struct{}
	received    atomic.Int64
	sent        atomic.Int64
}

// Bytes returns the bytes received and sent.
func (s *Server) Bytes() (received, sent int64) { return s.received.Load(), s.sent.Load() }

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), connections: map[net.Conn]struct{}{}}
}

// Register adds the exported methods of service under name.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// Run serves connections from listener until ctx ends.
func (s *Server) Run(ctx context.Context, listener net.Listener) {
	group := concurrency.NewGroup(ctx)
	group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = listener.Close()
		s.closeAll()
	})
	for {
		connection, err := listener.Accept()
		if err != nil {
			break
		}
		if !s.add(connection) {
			_ = connection.Close()
			continue
		}
		group.Go(func(context.Context) {
			defer s.remove(connection)
			counted := &countedConn{Conn: connection, sent: &s.sent}
			s.rpc.ServeCodec(serverCodec{newCodec(counted, func(n int) { s.received.Add(int64(n)) })})
		})
	}
	group.Stop()
	group.Wait()
}

func (s *Server) add(connection net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.connections) >= maxConnections {
		return false
	}
	s.connections[connection] = struct{}{}
	return true
}

func (s *Server) remove(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, connection)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for connection := range s.connections {
		_ = connection.Close()
	}
}
