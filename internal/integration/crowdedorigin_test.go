package integration

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// maxOriginConns is the number of connections that the origin accepts at a time.
const maxOriginConns = 48

// cappedListener accepts a limited number of connections at a time and closes any others at once.
// It is safe for concurrent use.
type cappedListener struct {
	net.Listener

	mu sync.Mutex
	// limit is the number of connections that it accepts, open that of those that are open.
	limit, open int
	// rejected counts the connections that it closed at once.
	rejected int
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &countedConn{Conn: conn, listener: l}, nil
		}
		if err := conn.Close(); err != nil {
			return nil, err
		}
	}
}

func (l *cappedListener) admit() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		l.rejected++
		return false
	}
	l.open++
	return true
}

// setLimit sets the number of connections that it accepts.
func (l *cappedListener) setLimit(limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

// rejections returns the number of connections that it closed at once.
func (l *cappedListener) rejections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected
}

// losePeers makes the connections that are open now count for good, because their peers are gone
// without having closed them. It returns their number.
func (l *cappedListener) losePeers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit -= l.open
	return l.open
}

// countedConn is an accepted connection.
type countedConn struct {
	net.Conn
	listener *cappedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.open--
	})
	return c.Conn.Close()
}

// serveOrigin serves the origin, which accepts as many connections as its configuration names.
func (i *installation) serveOrigin() {
	listener, err := i.network.ForProcess("origin").Listen(originAddress)
	if err != nil {
		i.t.Fatal(err)
	}
	i.originListener = &cappedListener{Listener: listener, limit: maxOriginConns}
	i.fakeGroup.Go(func(ctx context.Context) { platformtest.Serve(ctx, i.originListener, i.origin.Handle) })
}

// Guards against engines that stay without weights after a power loss because idle connections of
// the loaders, which a loss of power does not close, use up those that the origin accepts.
func TestWeightsReturnAlthoughOriginKeepsLostConnections(t *testing.T) {
	for name, betweenRolloutAndLoss := range map[string]time.Duration{"right after a rollout": 0, "seconds after a rollout": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				// The loaders of the origin's region may use some at a time.
				i.originListener.setLimit(8)
				i.store.RequestRollout(modelName, 2)
				for i.servingVersion(2) < len(i.engines()) {
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(betweenRolloutAndLoss)
				lost := i.originListener.losePeers()
				i.simulatePowerLoss()
				time.Sleep(recoveryTime)
				i.checkVersion("after the power loss", 2)
				if t.Failed() {
					t.Errorf("%d connections were open at the power loss, the origin rejected %d", lost, i.originListener.rejections())
				}
			})
		})
	}
}

// servingVersion returns the number of engines that serve a version.
func (i *installation) servingVersion(version int64) int {
	count := 0
	for _, endpoint := range i.engines() {
		if endpoint.Engine.Version() == version {
			count++
		}
	}
	return count
}
