package upstream

import (
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// MaxAttempts bounds the attempts of a request that RepeatClosed repeats: a peer that
// restarted leaves several closed connections behind.
const MaxAttempts = 4

// RetryIfClosed repeats a GET request whose connection turned out to be closed, as a
// kept one is after the idle timeout or a restart of the other side. It implements
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
