package controlrpc_test

import (
	"context"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
)

// fragile is a service of which one method panics.
type fragile struct{}

// Panic panics.
func (fragile) Panic(int, *int) error { panic("broken") }

// Double answers after a second.
func (fragile) Double(number int, reply *int) error {
	time.Sleep(time.Second)
	*reply = 2 * number
	return nil
}

// serveFragile runs the test with a client of a server that serves fragile.
func serveFragile(t *testing.T, onPanic func(method string, value any, stack []byte), test func(client *controlrpc.Client)) {
	t.Helper()
	server := controlrpc.NewServer()
	server.OnPanic = onPanic
	if err := server.Register("Fragile", fragile{}); err != nil {
		t.Fatal(err)
	}
	clientEnd, serverEnd := net.Pipe()
	listener := &singleListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	listener.conns <- serverEnd
	group := concurrency.NewGroup(context.Background())
	group.Go(func(ctx context.Context) { server.Run(ctx, listener) })
	client := &controlrpc.Client{Dial: func(context.Context, string) (net.Conn, error) { return clientEnd, nil }}
	// Concurrent calls would each dial, but the pipe can be used once.
	if err := client.Call(t.Context(), "peer:81", "Fragile.Double", 1, new(int)); err != nil {
		t.Fatal(err)
	}
	test(client)
	client.Close()
	group.Stop()
	group.Wait()
}

// singleListener accepts the connections that are sent to it.
type singleListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
}

// Accept implements net.Listener.
func (l *singleListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *singleListener) Close() error {
	close(l.closed)
	return nil
}

// Guards against the end of the process, with all its other calls and requests, when one call
// panics.
func TestPanicInCallEndsOnlyThatCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []string
		onPanic := func(method string, value any, stack []byte) {
			reported = append(reported, method)
			if value != "broken" || !strings.Contains(string(stack), "fragile.Panic") {
				t.Errorf("reported value %v with the stack\n%s\nwant the value and the stack of the panic", value, stack)
			}
		}
		serveFragile(t, onPanic, func(client *controlrpc.Client) {
			group := concurrency.NewGroup(t.Context())
			for number := range 3 {
				group.Go(func(ctx context.Context) {
					var reply int
					if err := client.Call(ctx, "peer:81", "Fragile.Double", number, &reply); err != nil || reply != 2*number {
						t.Errorf("call during the panic: reply %d, error %v; want %d", reply, err, 2*number)
					}
				})
			}
			synctest.Wait()
			var serverError rpc.ServerError
			if err := client.Call(t.Context(), "peer:81", "Fragile.Panic", 1, new(int)); !errors.As(err, &serverError) {
				t.Errorf("the call that panics returned %v, want an error of the server", err)
			}
			group.Wait()
			var reply int
			if err := client.Call(t.Context(), "peer:81", "Fragile.Double", 4, &reply); err != nil || reply != 8 {
				t.Errorf("call after the panic: reply %d, error %v; want 8", reply, err)
			}
		})
		if len(reported) != 1 || reported[0] != "Fragile.Panic" {
			t.Errorf("reported panics of %v, want one of Fragile.Panic", reported)
		}
	})
}

// A call of a method that does not exist leaves the connection usable.
func TestUnknownMethodLeavesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		serveFragile(t, nil, func(client *controlrpc.Client) {
			if err := client.Call(t.Context(), "peer:81", "Fragile.Missing", 1, new(int)); err == nil || errors.Is(err, controlrpc.ErrUnreachable) {
				t.Errorf("call of an unknown method returned %v, want an error of the server", err)
			}
			var reply int
			if err := client.Call(t.Context(), "peer:81", "Fragile.Double", 4, &reply); err != nil || reply != 8 {
				t.Errorf("next call: reply %d, error %v; want 8", reply, err)
			}
		})
	})
}
