package fakes

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"

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

	requests atomic.Int64
}

// Requests returns the number of requests received so far.
func (s *RawServer) Requests() int64 { return s.requests.Load() }

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
		s.requests.Add(1)
		if _, err := conn.Write([]byte(s.Response)); err != nil || s.Close {
			return
		}
	}
}

// InvalidResponses returns responses with a body that are none, because their heads are invalid.
func InvalidResponses(body string) map[string]string {
	sound := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	withStart := func(line string) string { return strings.Replace(sound, "HTTP/1.1 200 OK", line, 1) }
	withField := func(line string) string { return strings.Replace(sound, "\r\n", "\r\n"+line+"\r\n", 1) }
	return map[string]string{
		"status 000":             withStart("HTTP/1.1 000 OK"),
		"status 999":             withStart("HTTP/1.1 999 OK"),
		"version 9.9":            withStart("HTTP/9.9 200 OK"),
		"control byte in phrase": withStart("HTTP/1.1 200 O\x00K"),
		"blank in name":          withField("X Other: v"),
		"blank behind name":      withField("X-Other : v"),
		"continued line":         withField("X-Other: v\r\n w"),
		"control byte in name":   withField("X\x01Other: v"),
		"length and chunks":      strings.Replace(withField("Transfer-Encoding: chunked"), body, strconv.FormatInt(int64(len(body)), 16)+"\r\n"+body+"\r\n0\r\n\r\n", 1),
		"after interim response": "HTTP/1.1 100 Continue\r\n\r\n" + withStart("HTTP/1.1 000 OK"),
	}
}
