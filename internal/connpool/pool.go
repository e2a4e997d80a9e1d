// Package connpool manages the connections to endpoints: it opens, reuses and closes
// them, and runs one HTTP exchange at a time on each. It never retries a request, and
// reports whether the endpoint may have executed a failed one.
package connpool

import (
	"bufio"
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint did not
	// send its idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the endpoint's own timeout an idle connection is
	// closed: if a request crosses the endpoint's close on the network, it is unknown
	// whether it was executed.
	idleMargin = 700 * time.Millisecond
	// maxLostAddresses bounds the addresses whose last lost connection is remembered.
	maxLostAddresses = 4096
)

// ErrNotSent means that no byte of the request was sent, so the endpoint certainly did not
// execute it.
var ErrNotSent = errors.New("request was not sent")

// Pool keeps idle connections. Set the exported fields before the first call; the
// methods are safe for concurrent use.
type Pool struct {
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Stale reports whether an idle connection was closed by the peer or has unread bytes,
	// which belong to no request. If it is nil, no connection counts as stale.
	Stale func(net.Conn) bool
	// Budget bounds the memory of the bodies that are read at the same time; nil means no bound.
	Budget *Budget

	mu        sync.Mutex
	idleConns map[string][]*Conn
	opened    map[Reason]int64
	// lost holds why the last connection to an address that carried a request was not kept, until
	// a new one replaces it.
	lost map[string]Reason
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	total := int64(0)
	for _, count := range p.OpenedByReason() {
		total += count
	}
	return total
}

// OpenedByReason returns the number of connections opened so far for each reason.
func (p *Pool) OpenedByReason() map[Reason]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.opened)
}

// recordOpened counts a new connection. unusable is why an idle connection could not be used, empty
// if there was none.
func (p *Pool) recordOpened(address string, required bool, unusable Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opened == nil {
		p.opened = map[Reason]int64{}
	}
	reason := ReasonNoIdle
	switch lost := p.lost[address]; {
	case required:
		reason = ReasonRequired
	case unusable != "":
		reason = unusable
	case lost != "":
		reason = lost
		delete(p.lost, address)
	}
	p.opened[reason]++
}

// recordLost records that a connection was not kept. The caller must hold mu.
func (p *Pool) recordLost(address string, reason Reason) {
	if p.lost == nil || len(p.lost) >= maxLostAddresses {
		p.lost = map[string]Reason{}
	}
	p.lost[address] = reason
}

// Get returns a connection to an address: an idle one, or a new one if newConn is set or
// none is idle.
func (p *Pool) Get(ctx context.Context, address string, newConn bool) (*Conn, error) {
	unusable := Reason("")
	for !newConn {
		conn := p.takeIdle(address)
		if conn == nil {
			break
		}
		stale := p.Stale != nil && p.Stale(conn.Conn)
		if time.Now().Before(conn.idleUntil) && !stale {
			conn.reused = true
			return conn, nil
		}
		unusable = ReasonExpired
		if stale {
			unusable = ReasonClosed
		}
		_ = conn.Close()
	}
	netConn, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	p.recordOpened(address, newConn, unusable)
	return &Conn{Conn: netConn, address: address, reader: bufio.NewReaderSize(netConn, readBufferBytes)}, nil
}

// noteLost records that a connection was not kept after its request.
func (p *Pool) noteLost(address string, reason Reason) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLost(address, reason)
}

// takeIdle removes and returns the most recently used idle connection to an address, or
// nil.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idleConns[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.idleConns[address] = conns[:len(conns)-1]
	return last
}

// put returns a connection to the pool after a complete exchange. idleTimeout is the
// endpoint's idle timeout; 0 means that the endpoint did not send one. The connection is
// closed if it has unread bytes or if the timeout does not exceed idleMargin.
func (p *Pool) put(c *Conn, idleTimeout time.Duration) {
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout + idleMargin
	}
	if c.reader.Buffered() > 0 || idleTimeout <= idleMargin || c.closed.Load() {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleUntil = time.Now().Add(idleTimeout - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleConns == nil {
		p.idleConns = map[string][]*Conn{}
	}
	p.idleConns[c.address] = append(p.idleConns[c.address], c)
}

// Sweep closes the idle connections that have expired.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idleConns {
		remaining := conns[:0]
		for _, c := range conns {
			if now.Before(c.idleUntil) {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close()
			p.recordLost(address, ReasonExpired)
		}
		p.idleConns[address] = remaining
		if len(remaining) == 0 {
			delete(p.idleConns, address)
		}
	}
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idleConns {
		for _, c := range conns {
			_ = c.Close()
		}
		delete(p.idleConns, address)
	}
}
