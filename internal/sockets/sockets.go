// Package sockets opens the TCP connections of a process, with the options that
// show when the other side is gone, and looks at open ones.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, probeInterval and probeCount let keep-alive probes find a silent
	// connection within three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent bytes may stay without acknowledgement.
	userTimeout = 2500 * time.Millisecond
)

// Dial connects to an address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, conn syscall.RawConn) error {
			var optionErr error
			err := conn.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
	return dialer.DialContext(ctx, "tcp4", address)
}

// failFastTimeout is how long DialFailFast tries. The longest way takes some milliseconds; a
// lost opening packet, as to an instance that is just starting, is repeated only after a
// second, and a new try is quicker.
const failFastTimeout = 300 * time.Millisecond

// DialFailFast connects to an address, or gives up soon.
func DialFailFast(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), failFastTimeout)
	defer cancel()
	return Dial(ctx, address)
}

// Listen listens on an address.
func Listen(address string) (net.Listener, error) { return net.Listen("tcp4", address) }

// ClosedByPeer reports whether the other side closed a connection. Bytes that wait to be
// read do not count as a close.
func ClosedByPeer(conn net.Conn) bool {
	closed, _ := peekState(conn)
	return closed
}

// Stale reports whether a connection was closed or holds bytes to read.
func Stale(conn net.Conn) bool {
	closed, readable := peekState(conn)
	return closed || readable
}

// peekState looks at what can be read, without reading it.
func peekState(conn net.Conn) (closed, readable bool) {
	socket, isSocket := conn.(syscall.Conn)
	if !isSocket {
		return false, false
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return true, false
	}
	err = rawConn.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == unix.EAGAIN || err == unix.EINTR:
		case err != nil || n == 0:
			closed = true
		default:
			readable = true
		}
	})
	return closed || err != nil, readable
}
