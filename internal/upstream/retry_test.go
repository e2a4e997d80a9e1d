package upstream_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

// trackedConn is a connection that closes the channel closed when it is closed.
type trackedConn struct {
	net.Conn
	closed chan struct{}
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return err
}

// trackingListener sends each accepted connection to the channel accepted.
type trackingListener struct {
	net.Listener
	accepted chan *trackedConn
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: conn, closed: make(chan struct{})}
	l.accepted <- tracked
	return tracked, nil
}

// A request on an idle connection that the server has closed, after its idle timeout or
// because of a restart, must not fail if the request can be retried.
func TestRetryOnClosedIdleConnection(t *testing.T) {
	for name, testCase := range map[string]struct {
		method  string
		retry   bool
		succeed bool
	}{
		"repeatable": {method: fasthttp.MethodGet, retry: true, succeed: true},
		"no retry":   {method: fasthttp.MethodGet},
		"not a GET":  {method: fasthttp.MethodPost, retry: true},
	} {
		t.Run(name, func(t *testing.T) {
			loopback, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := &trackingListener{Listener: loopback, accepted: make(chan *trackedConn, 2)}
			server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}, IdleTimeout: time.Millisecond}
			group := concurrency.NewGroup(t.Context())
			group.Go(func(context.Context) { _ = server.Serve(listener) })
			client := (&upstream.Client{
				Dial:             func(string) (net.Conn, error) { return net.Dial("tcp4", loopback.Addr().String()) },
				FirstByteTimeout: time.Minute, IdleTimeout: time.Minute, RetryIfClosed: testCase.retry,
			}).Init()
			defer func() {
				client.Close()
				_ = listener.Close()
				group.Wait()
			}()
			first, err := client.Do(upstream.Request{Method: fasthttp.MethodGet, URL: "http://peer/"})
			if err != nil {
				t.Fatal(err)
			}
			first.Close()
			<-(<-listener.accepted).closed
			second, err := client.Do(upstream.Request{Method: testCase.method, URL: "http://peer/"})
			if err == nil {
				second.Close()
			}
			if (err == nil) != testCase.succeed {
				t.Errorf("second request: got error %v, want success: %t", err, testCase.succeed)
			}
		})
	}
}
