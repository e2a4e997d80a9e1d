package connpool_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/connpool"
)

// endpoint is the far end of a connection on which a request was sent.
type endpoint struct {
	t        *testing.T
	conn     *net.TCPConn
	exchange *connpool.Exchange
}

// startExchange sends a request with a pool to an endpoint, which responds with a header
// that gives neither a length nor chunks.
func startExchange(t *testing.T, pool *connpool.Pool, listener net.Listener) *endpoint {
	t.Helper()
	conn, err := pool.Get(t.Context(), listener.Addr().String(), false)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	var header fasthttp.RequestHeader
	header.SetMethod(fasthttp.MethodPost)
	header.SetRequestURI("/")
	header.SetHost("aso.example")
	exchange, err := pool.Send(conn, &header, []byte("body"), time.Now().Add(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{t: t, conn: accepted.(*net.TCPConn), exchange: exchange}
	if _, err := accepted.Read(make([]byte, 4<<10)); err != nil {
		t.Fatal(err)
	}
	e.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
	if _, err := exchange.ReadHeader(time.Now().Add(5*time.Second), true, func(*fasthttp.ResponseHeader) bool { return true }); err != nil {
		t.Fatal(err)
	}
	return e
}

func (e *endpoint) write(text string) {
	e.t.Helper()
	if _, err := e.conn.Write([]byte(text)); err != nil {
		e.t.Fatal(err)
	}
}

// read returns the next bytes of the body and the error that follows them.
func (e *endpoint) read() (string, error) {
	buffer := make([]byte, 1<<10)
	n, err := e.exchange.Read(buffer, time.Now().Add(2*time.Second))
	return string(buffer[:n]), err
}

// Guards against a response without a length that is held back until its end, taken as
// complete after a reset, or followed by another request on its connection.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	pool := &connpool.Pool{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
		Stale: func(net.Conn) bool { return false },
	}
	for name, reset := range map[string]bool{"regular end": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			e := startExchange(t, pool, listener)
			for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"} {
				e.write(event)
				text, err := e.read()
				if diff := cmp.Diff(event, text); diff != "" || err != nil {
					t.Fatalf("event (-want +got), error %v:\n%s", err, diff)
				}
			}
			if reset {
				if err := e.conn.SetLinger(0); err != nil {
					t.Fatal(err)
				}
			}
			_ = e.conn.Close()
			text, err := e.read()
			if text != "" || err == nil || errors.Is(err, io.EOF) == reset {
				t.Errorf("at the end: %q, error %v, want the end of the file only without a reset", text, err)
			}
			e.exchange.Finish(true, time.Minute)
			opened := pool.Opened()
			next := startExchange(t, pool, listener)
			next.exchange.Discard()
			if pool.Opened() != opened+1 {
				t.Errorf("the connection is used again")
			}
		})
	}
}
