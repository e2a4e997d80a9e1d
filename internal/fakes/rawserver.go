package fakes

import (
	"bufio"
	"context"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// RawServer responds to each HTTP request with the same bytes, which need not be a valid response.
type RawServer struct {
	Response string
	// Close closes the connection after a response.
	Close bool
	// Group runs the connections. They end when the client closes them.
	Group *concurrency.Group
}

// Dial connects to the server, whatever the address is.
func (s *RawServer) Dial(string) (net.Conn, error) {
	client, server := net.Pipe()
	s.Group.Go(func(context.Context) { s.serve(server) })
	return client, nil
}

func (s *RawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var request fasthttp.Request
	for request.Read(reader) == nil {
		if _, err := conn.Write([]byte(s.Response)); err != nil || s.Close {
			return
		}
	}
}
