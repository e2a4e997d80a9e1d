package controlrpc

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// ErrUnreachable reports that the peer sent no response. The call may
// nevertheless have been executed.
var ErrUnreachable = errors.New("peer is unreachable")

// Client calls peers by address over one persistent connection to each. Set the
// exported fields before the first call; the methods are safe for concurrent use.
type Client struct {
	// Dial opens a connection to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	conns    map[string]*peerConn
	calls    atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
}

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Bytes returns the bytes received and sent.
func (c *Client) Bytes() (received, sent int64) { return c.received.Load(), c.sent.Load() }

// peerConn is a connection to a peer. writeSlot is held while a request is
// written, so that calls that wait to write to a peer that does not read can still
// time out.
type peerConn struct {
	rpc       *rpc.Client
	writeSlot concurrency.Semaphore
}

// Call invokes method on the peer at address and stores the result in reply. If
// ctx is done first, Call closes the connection, since a peer that does not
// respond in time may never respond; reply must not be used in that case.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	c.calls.Add(1)
	conn, err := c.getConn(ctx, address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrUnreachable)
	}
	if err := conn.writeSlot.Acquire(ctx); err != nil {
		return c.abortCall(address, conn, method, err)
	}
	call := conn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	conn.writeSlot.Release()
	select {
	case <-call.Done:
		return c.finishCall(address, conn, call.Error)
	case <-ctx.Done():
		return c.abortCall(address, conn, method, ctx.Err())
	}
}

func (c *Client) abortCall(address string, conn *peerConn, method string, cause error) error {
	c.dropConn(address, conn)
	return errors.Mark(errors.Wrapf(cause, "call %s at %s", method, address), ErrUnreachable)
}

func (c *Client) finishCall(address string, conn *peerConn, err error) error {
	var serverError rpc.ServerError
	if err == nil || errors.As(err, &serverError) {
		return err
	}
	c.dropConn(address, conn)
	return errors.Mark(err, ErrUnreachable)
}

func (c *Client) getConn(ctx context.Context, address string) (*peerConn, error) {
	c.mu.Lock()
	existing := c.conns[address]
	c.mu.Unlock()
	if existing != nil {
		return existing, nil
	}
	dialed, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	counting := &countingConn{Conn: dialed, sent: &c.sent}
	codec := clientCodec{newCodec(counting, func(n int) { c.received.Add(int64(n)) })}
	return c.addConn(address, &peerConn{rpc: rpc.NewClientWithCodec(codec)}), nil
}

// addConn stores a new connection and returns it. If a concurrent call has already
// connected to the address, addConn closes conn and returns the stored connection.
func (c *Client) addConn(address string, conn *peerConn) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*peerConn{}
	}
	if existing := c.conns[address]; existing != nil {
		_ = conn.rpc.Close()
		return existing
	}
	c.conns[address] = conn
	return conn
}

func (c *Client) dropConn(address string, conn *peerConn) {
	c.mu.Lock()
	if c.conns[address] == conn {
		delete(c.conns, address)
	}
	c.mu.Unlock()
	_ = conn.rpc.Close()
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.rpc.Close()
		delete(c.conns, address)
	}
}

// writeTimeout bounds a single write, since a peer that does not read would block
// its callers forever.
const writeTimeout = 500 * time.Millisecond

// countingConn counts the bytes written and sets a deadline for each write.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}
