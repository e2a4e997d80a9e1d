package fakes_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
)

// Guards against a virtual clock that stops: as on a real connection, Close ends a write that
// waits on a frozen path, whoever holds a mutex meanwhile.
func TestCloseEndsWriteOnFrozenPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := fakes.NewNetwork()
		listener, err := network.ForProcess("server").Listen("server:80")
		if err != nil {
			t.Fatal(err)
		}
		group := concurrency.NewGroup(t.Context())
		group.Go(func(context.Context) { _, _ = listener.Accept() })
		conn, err := network.ForProcess("client").Dial("server:80")
		if err != nil {
			t.Fatal(err)
		}
		network.Freeze("client", "server")
		start := time.Now()
		group.Go(func(context.Context) {
			if _, err := conn.Write([]byte("data")); err == nil {
				t.Error("a write on a frozen path succeeded")
			}
		})
		time.Sleep(time.Second)
		_ = conn.Close()
		time.AfterFunc(time.Minute, func() { network.Unfreeze("client", "server") })
		group.Wait()
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("the write ended %s after the start, want 1 s, when the connection was closed", elapsed)
		}
		time.Sleep(time.Minute)
	})
}
