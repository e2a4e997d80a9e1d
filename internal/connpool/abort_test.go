package connpool_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/mimosaward/mimosaward/internal/connpool"
)

// TestAbortedRequestIsDropped verifies that an aborted exchange resets the connection. After
// an ordinary close, data that the endpoint has not acknowledged could still reach it.
func TestAbortedRequestIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	pool := &connpool.Pool{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}}
	conn, err := pool.Get(t.Context(), listener.Addr().String(), false)
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	var header fasthttp.RequestHeader
	header.SetMethod(fasthttp.MethodPost)
	header.SetRequestURI("/")
	header.SetHost("aso.example")
	exchange, err := pool.Send(conn, &header, []byte("body"), time.Now().Add(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	conn.Abort()
	exchange.Discard()
	if err := accepted.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 1<<10)
	for err == nil {
		_, err = accepted.Read(buffer)
	}
	if !errors.Is(err, unix.ECONNRESET) {
		t.Errorf("endpoint's read returned %v, want ECONNRESET", err)
	}
}
