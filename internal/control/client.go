package control

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrUnreachable means that the peer gave no answer; the call may have run.
var ErrUnreachable = errors.New("peer is unreachable")

// Client calls peers by address and keeps one connection to each. Set the
// fields before the first call; the methods are safe for concurrent use.
type Client struct {
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu       sync.Mutex
	peers    map[string]*rpc.Client
	calls    atomic.Int64
	received atomic.Int64
	sent     atomic.Int64
}

// DialTCP connects over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// Calls returns the number of calls made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Bytes returns the bytes received and sent.
func (c *Client) Bytes() (received, sent int64) { return c.received.Load(), c.sent.Load() }

// Call runs method at address and stores its answer in reply. If ctx ends
// first, the connection is closed, since a peer that does not answer in time
// may never answer; reply must not be used then.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	c.calls.Add(1)
	peer, err := c.peer(ctx, address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrUnreachable)
	}
	call := peer.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.finish(address, peer, call.Error)
	case <-ctx.Done():
		c.drop(address, peer)
		return errors.Mark(errors.Wrapf(ctx.Err(), "call %s at %s", method, address), ErrUnreachable)
	}
}

func (c *Client) finish(address string, peer *rpc.Client, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	c.drop(address, peer)
	return errors.Mark(err, ErrUnreachable)
}

func (c *Client) peer(ctx context.Context, address string) (*rpc.Client, error) {
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
	peer := rpc.NewClientWithCodec(clientCodec{newCodec(counted, func(n int) { c.received.Add(int64(n)) })})
	return c.keep(address, peer), nil
}

// keep stores peer unless another call connected first.
func (c *Client) keep(address string, peer *rpc.Client) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = map[string]*rpc.Client{}
	}
	if held := c.peers[address]; held != nil {
		_ = peer.Close()
		return held
	}
	c.peers[address] = peer
	return peer
}

func (c *Client) drop(address string, peer *rpc.Client) {
	c.mu.Lock()
	if c.peers[address] == peer {
		delete(c.peers, address)
	}
	c.mu.Unlock()
	_ = peer.Close()
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, peer := range c.peers {
		_ = peer.Close()
		delete(c.peers, address)
	}
}

// countedConn counts the bytes written.
type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.Add(int64(n))
	return n, err
}
