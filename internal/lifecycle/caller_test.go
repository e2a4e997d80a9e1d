package lifecycle

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// errAmbiguous reports a connection that was opened while a process was replaced.
var errAmbiguous = errors.New("process was replaced meanwhile")

func ignoreEOF(err error) error {
	if err == io.EOF { //nolint:errorlint // a wrapped io.EOF is not the regular end of a body
		return nil
	}
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// caller sends one request after another.
type caller struct {
	site   *site
	ledger *ledger
	name   string
	random *rand.Rand
	sent   int
	// connections are kept by gateway.
	connections map[*daemon][]*connection
	// addresses are those of the last response of the directory, used until expiry.
	addresses []*daemon
	expiry    time.Time
}

func newCaller(s *site, l *ledger, seed uint64, index int, kind string) *caller {
	return &caller{
		site: s, ledger: l, name: fmt.Sprintf("%s%d", kind, index), random: rand.New(rand.NewPCG(seed, uint64(100+index))), connections: map[*daemon][]*connection{},
	}
}

func (c *caller) nextID() string {
	c.sent++
	return fmt.Sprintf("%s-%d", c.name, c.sent)
}

// follow sends calls to gateways that the directory names, until ctx is done.
func (c *caller) follow(ctx context.Context) {
	defer c.closeAll()
	for ctx.Err() == nil {
		c.resolve()
		if len(c.addresses) > 0 {
			d := c.addresses[c.random.IntN(len(c.addresses))]
			conn := c.take(ctx, d, c.random.IntN(4) > 0)
			if conn != nil {
				c.use(d, conn, newCall(c.random, c.nextID()))
			}
		}
		concurrency.Sleep(ctx, between(c.random, 10*time.Millisecond, 200*time.Millisecond))
	}
}

// heldConnections is how many open connections to its gateway a holder keeps.
const heldConnections = 8

// hold keeps connections to one gateway, which it uses at random times, and during a stop
// until the process is gone.
func (c *caller) hold(ctx context.Context, d *daemon) {
	defer c.closeAll()
	for ctx.Err() == nil {
		pause := between(c.random, 20*time.Millisecond, 400*time.Millisecond)
		p := d.process()
		_, stopping := p.stopping()
		if stopping {
			pause = between(c.random, time.Millisecond, 60*time.Millisecond)
		} else if len(c.connections[d]) < heldConnections {
			if conn := c.take(ctx, d, false); conn != nil {
				c.connections[d] = append(c.connections[d], conn)
			}
		}
		// During a stop each response closes its connection, so the held ones are spread
		// over it.
		if conn := c.take(ctx, d, !stopping || c.random.IntN(12) == 0); conn != nil && !p.exited() {
			newCallOf := newQuickCall
			if c.random.IntN(20) == 0 {
				newCallOf = newCall
			}
			c.use(d, conn, newCallOf(c.random, c.nextID()))
		}
		concurrency.Sleep(ctx, pause)
	}
}

// take returns a kept connection to the gateway, or a new one.
func (c *caller) take(ctx context.Context, d *daemon, kept bool) *connection {
	if list := c.connections[d]; kept && len(list) > 0 {
		index := c.random.IntN(len(list))
		conn := list[index]
		c.connections[d] = slices.Delete(list, index, index+1)
		if conn.process.exited() {
			conn.close()
			return nil
		}
		return conn
	}
	conn, p, err := connect(ctx, d)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		c.ledger.addRefusedConnection(p)
	case err == nil:
		return conn
	}
	return nil
}

// use sends a call on the connection and keeps the connection if it remains open.
func (c *caller) use(d *daemon, conn *connection, next *call) {
	if conn.reader.Buffered() > 0 {
		c.ledger.addFinding("bytes on an idle connection to %s", conn.process.output)
	}
	if next.key != "" && c.random.IntN(8) == 0 {
		key, removable := c.site.key()
		next.key, next.optional = key, next.optional || removable
	}
	c.ledger.addAttempt(conn.do(next))
	if !conn.closed {
		c.connections[d] = append(c.connections[d], conn)
	}
}

func (c *caller) closeAll() {
	for _, list := range c.connections {
		for _, conn := range list {
			conn.close()
		}
	}
}

// maxKeepFactor is how many times its TTL a caller keeps a response of the directory.
const maxKeepFactor = 3

// resolve asks the directory if the last response has expired. The caller stops to use the
// connections to gateways that the new response does not name.
func (c *caller) resolve() {
	if time.Now().Before(c.expiry) {
		return
	}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, index := range c.random.Perm(len(c.site.gateways)) {
		asked := time.Now()
		addresses, ttl, err := c.ask(client, c.site.gateways[index])
		if err != nil || len(addresses) == 0 {
			continue
		}
		c.addresses = addresses
		c.expiry = asked.Add(ttl * time.Duration(1+c.random.IntN(maxKeepFactor)))
		for d, list := range c.connections {
			if !slices.Contains(addresses, d) {
				for _, conn := range list {
					conn.close()
				}
				delete(c.connections, d)
			}
		}
		return
	}
}

func (c *caller) ask(client *http.Client, d *daemon) ([]*daemon, time.Duration, error) {
	response, err := client.Get("http://" + c.site.address(d.host, directoryPort) + platformtest.DirectoryPath(callersHost, regionName, zoneName))
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0, err
	}
	directory, err := platformtest.ParseDirectoryResponse(body)
	if err != nil {
		return nil, 0, err
	}
	var named []*daemon
	for _, gateway := range c.site.gateways {
		if slices.Contains(directory.Addresses, c.site.address(gateway.host, callersPort)) {
			named = append(named, gateway)
		}
	}
	return named, min(addressTTL, directory.TTL), nil
}
