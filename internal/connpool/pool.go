// Package connpool owns the connections to endpoints: it opens, reuses and closes
// them, and makes one HTTP exchange at a time on each. It never repeats a
// request, and tells whether a failed one can have run.
package connpool

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultIdle is how long an idle connection is kept if the endpoint did not
	// say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the endpoint's own timeout an idle connection
	// is dropped: a request that crosses the close may have run.
	idleMargin = 700 * time.Millisecond
)

// ErrNotSent means that no byte of the request left, so it certainly did not run.
var ErrNotSent = errors.New("request was not sent")

// Pool keeps idle connections. Set the exported fields before the first call; the
// methods are safe for concurrent use.
type Pool struct {
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Stale reports whether an idle connection was closed or holds bytes that
	// belong to no request. Nil means that none is.
	Stale func(net.Conn) bool

	mu     sync.Mutex
	idle   map[string][]*Conn
	opened int64
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Get returns a connection to an address: an idle one, or a new one if fresh is
// set or none is idle.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	for !fresh {
		kept := p.takeIdle(address)
		if kept == nil {
			break
		}
		stale := p.Stale != nil && p.Stale(kept.Conn)
		if time.Now().Before(kept.idleUntil) && !stale {
			kept.reused = true
			return kept, nil
		}
		_ = kept.Close()
	}
	opened, err := p.Dial(ctx, address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), ErrNotSent)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &Conn{Conn: opened, address: address, reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

// takeIdle returns the connection that was used last.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return last
}

// keep puts a connection back whose exchange is complete. Idle is how long the
// endpoint keeps it, 0 if it did not say.
func (p *Pool) keep(c *Conn, idle time.Duration) {
	if idle == 0 {
		idle = defaultIdle + idleMargin
	}
	if c.reader.Buffered() > 0 || idle <= idleMargin || c.closed.Load() {
		_ = c.Close()
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleUntil = time.Now().Add(idle - idleMargin)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes the idle connections that are past their time.
func (p *Pool) Sweep() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		fresh := kept[:0]
		for _, c := range kept {
			if now.Before(c.idleUntil) {
				fresh = append(fresh, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = fresh
		if len(fresh) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes every idle connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		for _, c := range kept {
			_ = c.Close()
		}
		delete(p.idle, address)
	}
}
