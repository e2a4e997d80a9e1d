package sockets_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/sockets"
)

// failingListener returns the errors one after the other, then net.ErrClosed.
type failingListener struct {
	net.Listener
	errors []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errors) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errors[0]
	l.errors = l.errors[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: os.NewSyscallError("accept4", err)}
}

// Guards against a server, and so its process, that ends when it has no free file
// descriptor for a new connection.
func TestListenerSurvivesTemporaryErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []error
		failing := &failingListener{errors: []error{syscall.EMFILE, syscall.ECONNABORTED, syscall.ENFILE, syscall.EPROTO, syscall.EINVAL}}
		listener := &sockets.Listener{Listener: failing, OnError: func(err error) { reported = append(reported, err) }}
		start := time.Now()
		_, err := listener.Accept()
		if diff := cmp.Diff("accept tcp4: accept4: invalid argument", err.Error()); diff != "" {
			t.Errorf("error of Accept (-want +got):\n%s", diff)
		}
		if len(reported) != 4 {
			t.Errorf("%d errors reported, want 4", len(reported))
		}
		if took := time.Since(start); took != 75*time.Millisecond {
			t.Errorf("Accept took %s, want 75ms", took)
		}
	})
}
