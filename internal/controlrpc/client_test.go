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

// A peer that is suspended reads nothing from its connection. Concurrent calls to
// it must all return soon after their deadlines, although net/rpc itself has no
// deadlines.
func TestCallsToSuspendedPeerTimeOut(t *testing.T) {
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
					t.Errorf("call returned %v, want ErrUnreachable", err)
				}
			})
		}
		group.Wait()
		if elapsed := time.Since(start); elapsed > 2*time.Second {
			t.Errorf("calls with a timeout of 1 s returned after %s", elapsed)
		}
		client.Close()
		_ = serverEnd.Close()
	})
}
