package callerconn

import (
	"net"

	"github.com/valyala/fasthttp"
)

// RecordState tells a connection that its server waits for the next request. It implements
// fasthttp.Server.ConnState.
func RecordState(conn net.Conn, state fasthttp.ConnState) {
	if state == fasthttp.StateIdle {
		Of(conn).BeginIdle()
	}
}
