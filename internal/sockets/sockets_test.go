package sockets_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/mimosaward/mimosaward/internal/sockets"
)

// Guards against a watch of the object store that misses changes for longer than
// StoreSilenceTimeout after its connection fell silent.
func TestStoreConnectionDetectsSilence(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := sockets.DialStore(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(name int) (value int) {
		var optionErr error
		err := rawConn.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) })
		if err != nil || optionErr != nil {
			t.Fatal(err, optionErr)
		}
		return value
	}
	idle, interval := time.Duration(option(unix.TCP_KEEPIDLE))*time.Second, time.Duration(option(unix.TCP_KEEPINTVL))*time.Second
	// The probe after the user timeout closes the connection.
	probes := (time.Duration(option(unix.TCP_USER_TIMEOUT))*time.Millisecond - idle + interval - 1) / interval
	if detected := idle + probes*interval; detected > sockets.StoreSilenceTimeout {
		t.Errorf("silence is detected after %v, want at most %v", detected, sockets.StoreSilenceTimeout)
	}
	if detected := idle + time.Duration(option(unix.TCP_KEEPCNT))*interval; detected > sockets.StoreSilenceTimeout {
		t.Errorf("the probes end after %v, want at most %v", detected, sockets.StoreSilenceTimeout)
	}
}
