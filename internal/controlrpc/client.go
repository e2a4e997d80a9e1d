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

// ErrUnreachable means that the peer gave no answer; the call may have run.
var ErrUnreachable = errors.New("peer is unreachable")

// Client calls peers by address and keeps one connection to each. Set the
// fields before the first call; the methods are safe for concurrent use.
type Client struct {
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	peers    map[string]*peer
	calls    atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
}

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Bytes returns the bytes received and sent.
func (c *Client) Bytes() (received, sent int64) { return c.received.Load(), c.sent.Load() }

// peer is a connection. Its turn is taken while a request is written, so that
// callers that wait behind a peer that takes no bytes can give up.
type peer struct {
	rpc  *rpc.Client
	turn concurrency.Semaphore
}

// Call runs method at address and stores its answer in reply. If ctx ends
// first, the connection is closed, since a peer that does not answer in time
// may never answer; reply must not be used then.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	c.calls.Add(1)
	to, err := c.connect(ctx, address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrUnreachable)
	}
	if err := to.turn.Acquire(ctx); err != nil {
		return c.giveUp(address, to, method, err)
	}
	call := to.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	to.turn.Release()
	select {
	case <-call.Done:
		return c.finish(address, to, call.Error)
	case <-ctx.Done():
		return c.giveUp(address, to, method, ctx.Err())
	}
}

func (c *Client) giveUp(address string, from *peer, method string, cause error) error {
	c.drop(address, from)
	return errors.Mark(errors.Wrapf(cause, "call %s at %s", method, address), ErrUnreachable)
}

func (c *Client) finish(address string, from *peer, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	c.drop(address, from)
	return errors.Mark(err, ErrUnreachable)
}

func (c *Client) connect(ctx context.Context, address string) (*peer, error) {
	c.mu.Lock()
	held := c.peers[address]
	c.mu.Unlock()
	if held != nil {
		return held, nil
	}
	connection, err := c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: connection, sent: &c.sent}
	codec := clientCodec{newCodec(counted, func(n int) { c.received.Add(int64(n)) })}
	return c.keep(address, &peer{rpc: rpc.NewClientWithCodec(codec)}), nil
}

// keep stores a connection unless another call connected first.
func (c *Client) keep(address string, opened *peer) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = map[string]*peer{}
	}
	if held := c.peers[address]; held != nil {
		_ = opened.rpc.Close()
		return held
	}
	c.peers[address] = opened
	return opened
}

func (c *Client) drop(address string, dropped *peer) {
	c.mu.Lock()
	if c.peers[address] == dropped {
		delete(c.peers, address)
	}
	c.mu.Unlock()
	_ = dropped.rpc.Close()
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, held := range c.peers {
		_ = held.rpc.Close()
		delete(c.peers, address)
	}
}

// writeTimeout bounds one write, since a peer that takes no bytes would block
// its callers for good.
const writeTimeout = 500 * time.Millisecond

// countedConn counts the bytes written and bounds each write.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}
