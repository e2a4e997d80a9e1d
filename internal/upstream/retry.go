package upstream

import (
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// MaxAttempts bounds the attempts of a request that RetryIfClosed retries: after a
// restart of the peer, several connections in the pool are closed.
const MaxAttempts = 4

// RetryIfClosed makes the client retry a GET request whose connection was already
// closed, for example by the peer's idle timeout or restart. It implements
// fasthttp.RetryIfErrFunc.
func RetryIfClosed(request *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, request.Header.IsGet() && isClosed(err)
}

func isClosed(err error) bool {
	if errors.Is(err, ErrNotConnected) {
		return false
	}
	for _, target := range []error{io.EOF, io.ErrClosedPipe, net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE, fasthttp.ErrConnectionClosed} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
