package controlrpc_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
)

// A frozen peer takes no bytes at all. Several calls to it must all end soon
// after their deadlines, though net/rpc itself knows none.
func TestCallsToUnresponsivePeerTimeOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clientEnd, serverEnd := net.Pipe()
		client := &controlrpc.Client{Dial: func(context.Context, string) (net.Conn, error) { return clientEnd, nil }}
		start := time.Now()
		group := concurrency.NewGroup(t.Context())
		for range 3 {
			group.Go(func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, time.Second)
				defer cancel()
				if err := client.Call(ctx, "peer:81", "Echo.Call", 1, new(int)); !errors.Is(err, controlrpc.ErrUnreachable) {
					t.Errorf("got %v, want ErrUnreachable", err)
				}
			})
		}
		group.Wait()
		if elapsed := time.Since(start); elapsed > 2*time.Second {
			t.Errorf("calls with a deadline of 1 s ended after %s", elapsed)
		}
		client.Close()
		_ = serverEnd.Close()
	})
}
