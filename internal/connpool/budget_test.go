package connpool_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/connpool"
)

// Guards against responses without end that take more memory together than the process has, and
// against one of usual size that is given up for them.
func TestEndlessBodiesShareABudget(t *testing.T) {
	const (
		limit, endless = 1 << 20, 12
		// slack is what a connection holds beyond its reservation: buffers of the kernel and of
		// the reader, and what does not count.
		slack = 8 << 20
		sound = 100 << 10
	)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	pool := &connpool.Pool{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
		Budget: &connpool.Budget{Limit: limit},
	}
	deadline := time.Now().Add(20 * time.Second)
	block := []byte(strings.Repeat("x", 64<<10))
	var total, largest, given atomic.Int64
	var group sync.WaitGroup
	for range endless {
		e := startExchange(t, pool, listener)
		group.Go(func() {
			sent := 0
			for {
				n, err := e.conn.Write(block)
				sent += n
				if sent > 64<<20 || err != nil {
					break
				}
			}
			_ = e.conn.Close()
			total.Add(int64(sent))
		})
		group.Go(func() {
			body, err := e.exchange.ReadAll(deadline)
			if err == nil {
				largest.Store(max(largest.Load(), int64(len(body))))
			} else {
				given.Add(1)
			}
			e.exchange.Discard()
		})
	}
	e := startExchange(t, pool, listener)
	group.Go(func() {
		_, _ = e.conn.Write(block)
		time.Sleep(50 * time.Millisecond)
		_, _ = e.conn.Write(block[:sound-len(block)])
		_ = e.conn.Close()
	})
	body, err := e.exchange.ReadAll(deadline)
	if err != nil || len(body) != sound {
		t.Errorf("the sound body has %d bytes, error %v, want %d and none", len(body), err, sound)
	}
	e.exchange.Finish(false, 0)
	group.Wait()
	if diff := cmp.Diff(int64(endless), given.Load()); diff != "" {
		t.Errorf("number of bodies without end that were given up (-want +got):\n%s", diff)
	}
	if got := total.Load(); got > 4*limit+endless*slack {
		t.Errorf("the process accepted %d MiB, want at most %d", got>>20, (4*limit+endless*slack)>>20)
	}
	if used := pool.Budget.Used(); used != 0 {
		t.Errorf("%d bytes are still reserved", used)
	}
}

// Guards against bodies that are cut or joined wrongly where their blocks meet.
func TestBodiesOfAnySizeAreReadWhole(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	pool := &connpool.Pool{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
		Budget: &connpool.Budget{Limit: 1 << 20},
	}
	const block = 16 << 10
	for _, size := range []int{0, 1, block - 1, block, block + 1, 2 * block, 5*block + 7} {
		want := strings.Repeat("0123456789", size/10+1)[:size]
		e := startExchange(t, pool, listener)
		var group sync.WaitGroup
		group.Go(func() {
			_, _ = e.conn.Write([]byte(want))
			_ = e.conn.Close()
		})
		body, err := e.exchange.ReadAll(time.Now().Add(5 * time.Second))
		if diff := cmp.Diff(want, string(body)); diff != "" || err != nil {
			t.Errorf("body of %d bytes: error %v (-want +got):\n%s", size, err, diff)
		}
		e.exchange.Finish(false, 0)
		group.Wait()
	}
}

// Guards against sound bodies that are given up although they fit into the budget together.
func TestLargeSoundBodiesFillTheBudget(t *testing.T) {
	const limit, bodies = 1 << 20, 3
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	pool := &connpool.Pool{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		},
		Budget: &connpool.Budget{Limit: limit},
	}
	size := limit/bodies - 32<<10
	body := []byte(strings.Repeat("x", size))
	// The bodies end only when all of them were sent but for the last byte.
	var arrived, group sync.WaitGroup
	arrived.Add(bodies)
	for range bodies {
		e := startExchange(t, pool, listener)
		group.Go(func() {
			_, _ = e.conn.Write(body[1:])
			arrived.Done()
			arrived.Wait()
			time.Sleep(50 * time.Millisecond)
			_, _ = e.conn.Write(body[:1])
			_ = e.conn.Close()
		})
		group.Go(func() {
			got, err := e.exchange.ReadAll(time.Now().Add(5 * time.Second))
			if err != nil || len(got) != size {
				t.Errorf("read %d bytes, error %v, want %d and none", len(got), err, size)
			}
			e.exchange.Finish(false, 0)
		})
	}
	group.Wait()
}
