package sockets

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// initialAcceptDelay is the delay after a first temporary error of Accept. Each further
	// one doubles it, up to maxAcceptDelay.
	initialAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay     = 500 * time.Millisecond
)

// temporaryAcceptErrors pass when connections are closed or memory is released, or concern
// only the connection that was to be accepted: accept(2) lists the network errors. Servers
// end at the first error of Accept.
var temporaryAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPERM, syscall.EINTR, syscall.ENETDOWN, syscall.EPROTO,
	syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// Listener is a listener whose Accept waits and tries again after an error that passes, for
// example because the process has no free file descriptor.
type Listener struct {
	net.Listener
	// OnError is called with each such error.
	OnError func(error)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for delay := initialAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		conn, err := l.Listener.Accept()
		if err == nil || !errors.IsAny(err, temporaryAcceptErrors...) {
			return conn, err
		}
		l.OnError(err)
		time.Sleep(delay)
	}
}
