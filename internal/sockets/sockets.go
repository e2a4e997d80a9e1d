// Package sockets opens TCP connections with socket options that detect unresponsive
// peers, and inspects open connections.
package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount make keep-alive probes detect
	// a dead connection within three seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// userTimeout is how long sent data or probes may remain unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT).
	userTimeout = 2500 * time.Millisecond
	// storeUserTimeout is the same for connections to the object store. It is shorter than the
	// time to the second probe, so that a single lost probe closes the connection.
	storeUserTimeout    = 1500 * time.Millisecond
	storeKeepAliveCount = 1

	// StoreSilenceTimeout is the time after which a connection to the object store that fell
	// silent is closed. The changes that a watch missed must then still reach all gateways
	// within the time in which configurations take effect.
	StoreSilenceTimeout = keepAliveIdle + storeKeepAliveCount*keepAliveInterval
)

// Dial opens a TCP connection to an address.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dial(ctx, address, keepAliveCount, userTimeout)
}

// DialStore opens a TCP connection to the object store. It fails after failFastTimeout.
func DialStore(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), failFastTimeout)
	defer cancel()
	return dial(ctx, address, storeKeepAliveCount, storeUserTimeout)
}

func dial(ctx context.Context, address string, probes int, userTimeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: probes},
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

// failFastTimeout is the timeout of DialFailFast. The longest network path has a latency
// of a few milliseconds. A lost SYN packet, for example to an instance that is just
// starting, is retransmitted only after a second, so a new attempt is faster.
const failFastTimeout = 300 * time.Millisecond

// DialFailFast is like Dial, but fails after failFastTimeout.
func DialFailFast(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), failFastTimeout)
	defer cancel()
	return Dial(ctx, address)
}

// NewListen returns a function that listens for TCP connections on an address with a
// Listener. onError is called with each error of Accept that passes.
func NewListen(onError func(address string, err error)) func(address string) (net.Listener, error) {
	return func(address string) (net.Listener, error) {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, err
		}
		return &Listener{Listener: listener, OnError: func(err error) { onError(address, err) }}, nil
	}
}

// ClosedByPeer reports whether the peer closed a connection. A connection with unread
// bytes does not count as closed.
func ClosedByPeer(conn net.Conn) bool {
	closed, _ := peekState(conn)
	return closed
}

// Stale reports whether a connection is closed or has unread bytes.
func Stale(conn net.Conn) bool {
	closed, readable := peekState(conn)
	return closed || readable
}

// peekState reports whether a connection is closed or has unread bytes, without
// consuming them.
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
