package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/connpool"
)

// Guards against the reset of a connection that already carries another request: its attempt
// was answered while it was about to be withdrawn.
func TestSettledAttemptIsNotWithdrawn(t *testing.T) {
	type result struct{ Settled, Withdrawn, Open bool }
	for name, test := range map[string]struct {
		settleFirst bool
		want        result
	}{
		"settled first":   {settleFirst: true, want: result{Settled: true, Open: true}},
		"withdrawn first": {want: result{Withdrawn: true}},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			pool := &connpool.Pool{Dial: func(context.Context, string) (net.Conn, error) { return near, nil }}
			conn, err := pool.Get(t.Context(), "10.0.0.1:80", true)
			if err != nil {
				t.Fatal(err)
			}
			pending := &pendingAttempt{conn: conn}
			var got result
			if test.settleFirst {
				got.Settled = pending.settle()
				got.Withdrawn = pending.withdraw()
			} else {
				got.Withdrawn = pending.withdraw()
				got.Settled = pending.settle()
			}
			got.Open = near.SetDeadline(time.Time{}) == nil
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("result (-want +got):\n%s", diff)
			}
		})
	}
}
