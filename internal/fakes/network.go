package fakes

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/daemon"
)

// errConnectionRefused is returned by a dial if no process listens on the
// address or the path is disconnected.
var errConnectionRefused = errors.WithStack(syscall.ECONNREFUSED)

// ControlPort is the suffix of the control addresses in tests.
const ControlPort = ":81"

// pathLatency is the one-way latency between any two processes.
const pathLatency = time.Millisecond

// Network is an in-memory network between the processes of one test. A path
// between two processes can be disconnected, which closes its connections, or
// frozen, which stops all traffic without closing them. It is safe for
// concurrent use.
type Network struct {
	mu                  sync.Mutex
	listeners           map[string]*listener
	connections         map[*connection]struct{}
	disconnected        map[path]bool
	controlDisconnected map[path]bool
	frozen              map[path]bool
	changed             chan struct{}
}

// path is an unordered pair of processes; a is the lesser name.
type path struct {
	a string
	b string
}

func pathOf(a, b string) path {
	if a > b {
		a, b = b, a
	}
	return path{a: a, b: b}
}

// NewNetwork returns a network without processes.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, connections: map[*connection]struct{}{},
		disconnected: map[path]bool{}, controlDisconnected: map[path]bool{}, frozen: map[path]bool{}, changed: make(chan struct{}),
	}
}

// ForProcess returns the network as seen by the named process.
func (n *Network) ForProcess(name string) daemon.Network {
	return daemon.Network{
		Listen: func(address string) (net.Listener, error) { return n.listen(name, address) },
		Dial:   func(address string) (net.Conn, error) { return n.dial(name, address) },
	}
}

// Disconnect closes the connections between a process and others, and refuses
// new ones.
func (n *Network) Disconnect(name string, others ...string) {
	n.setPaths(n.disconnected, true, name, others)
}

// DisconnectControl closes and refuses only the connections to the control
// addresses between two processes, in both directions.
func (n *Network) DisconnectControl(name, other string) {
	n.mu.Lock()
	n.controlDisconnected[pathOf(name, other)] = true
	var affected []*connection
	for conn := range n.connections {
		if conn.control && n.controlDisconnected[conn.path] {
			affected = append(affected, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range affected {
		_ = conn.Close()
	}
}

// Reconnect reverses Disconnect.
func (n *Network) Reconnect(name string, others ...string) {
	n.setPaths(n.disconnected, false, name, others)
}

// Freeze stops the traffic between a process and others without closing their
// connections.
func (n *Network) Freeze(name string, others ...string) { n.setPaths(n.frozen, true, name, others) }

// Unfreeze reverses Freeze.
func (n *Network) Unfreeze(name string, others ...string) { n.setPaths(n.frozen, false, name, others) }

func (n *Network) setPaths(paths map[path]bool, value bool, name string, others []string) {
	n.mu.Lock()
	for _, other := range others {
		paths[pathOf(name, other)] = value
	}
	var affected []*connection
	for conn := range n.connections {
		if n.disconnected[conn.path] {
			affected = append(affected, conn)
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
	n.mu.Unlock()
	for _, conn := range affected {
		_ = conn.Close()
	}
}

func (n *Network) listen(name, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("address %s is in use", address)
	}
	newListener := &listener{network: n, owner: name, address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = newListener
	return newListener, nil
}

func (n *Network) dial(name, address string) (net.Conn, error) {
	time.Sleep(pathLatency)
	n.mu.Lock()
	target := n.listeners[address]
	control := strings.HasSuffix(address, ControlPort)
	refused := target == nil || n.disconnected[pathOf(name, target.owner)] || (control && n.controlDisconnected[pathOf(name, target.owner)])
	n.mu.Unlock()
	if refused {
		return nil, errConnectionRefused
	}
	clientPipe, serverPipe := net.Pipe()
	client := &connection{Conn: clientPipe, network: n, path: pathOf(name, target.owner), remote: target.owner, control: control, done: make(chan struct{})}
	server := &connection{Conn: serverPipe, network: n, path: client.path, remote: name, control: control, peer: client, done: make(chan struct{})}
	client.peer = server
	n.mu.Lock()
	n.connections[client] = struct{}{}
	n.connections[server] = struct{}{}
	n.mu.Unlock()
	select {
	case target.incoming <- server:
		return client, nil
	case <-target.closed:
		_ = client.Close()
		return nil, errConnectionRefused
	}
}

// waitUntilUnfrozen blocks until the path is not frozen, and returns an error at
// the deadline or when done is closed. A zero deadline means no deadline.
func (n *Network) waitUntilUnfrozen(p path, deadline time.Time, done <-chan struct{}) error {
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(max(time.Nanosecond, time.Until(deadline)))
		defer timer.Stop()
		expired = timer.C
	}
	for {
		n.mu.Lock()
		frozen, changed := n.frozen[p], n.changed
		n.mu.Unlock()
		if !frozen {
			return nil
		}
		select {
		case <-changed:
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-done:
			return net.ErrClosed
		}
	}
}

// listener accepts connections to one address.
type listener struct {
	network  *Network
	owner    string
	address  string
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// connection is one end of a network connection.
type connection struct {
	net.Conn
	network *Network
	path    path
	control bool
	// remote is the name of the peer process, peer is its end of the connection.
	remote string
	peer   *connection

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
	closed        bool
	// done is closed with the connection.
	done chan struct{}
}

// processAddr is the network address of a process, which is its name.
type processAddr string

// Network implements net.Addr.
func (processAddr) Network() string { return "tcp" }

// String implements net.Addr.
func (a processAddr) String() string { return string(a) }

// RemoteAddr implements net.Conn.
func (c *connection) RemoteAddr() net.Addr { return processAddr(c.remote) }

// PeerClosed reports whether the peer has closed the connection.
func PeerClosed(conn net.Conn) bool {
	c, ok := conn.(*connection)
	return ok && c.peer.isClosed()
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// SetDeadline implements net.Conn.
func (c *connection) SetDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil {
		return err
	}
	return c.SetWriteDeadline(at)
}

// SetReadDeadline implements net.Conn.
func (c *connection) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	c.readDeadline = at
	c.mu.Unlock()
	return c.ignorePeerClosed(c.Conn.SetReadDeadline(at))
}

// ignorePeerClosed drops the error that a pipe returns after the peer has
// closed it: on a real connection, only reads and writes report that.
func (c *connection) ignorePeerClosed(err error) error {
	if errors.Is(err, io.ErrClosedPipe) && !c.isClosed() {
		return nil
	}
	return err
}

// SetWriteDeadline implements net.Conn.
func (c *connection) SetWriteDeadline(at time.Time) error {
	c.mu.Lock()
	c.writeDeadline = at
	c.mu.Unlock()
	return c.ignorePeerClosed(c.Conn.SetWriteDeadline(at))
}

func (c *connection) deadlines() (read, write time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readDeadline, c.writeDeadline
}

// Read implements net.Conn.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	deadline, _ := c.deadlines()
	if waitErr := c.network.waitUntilUnfrozen(c.path, deadline, c.done); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write implements net.Conn.
func (c *connection) Write(data []byte) (int, error) {
	_, deadline := c.deadlines()
	if err := c.network.waitUntilUnfrozen(c.path, deadline, c.done); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	c.mu.Unlock()
	c.network.mu.Lock()
	delete(c.network.connections, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// CloseConnections closes every connection of a process, as its exit does.
func (n *Network) CloseConnections(name string) {
	n.mu.Lock()
	var affected []*connection
	for conn := range n.connections {
		if conn.path.a == name || conn.path.b == name {
			affected = append(affected, conn)
		}
	}
	n.mu.Unlock()
	for _, conn := range affected {
		_ = conn.Close()
	}
}

// IsDisconnected reports whether the path between two processes is
// disconnected.
func (n *Network) IsDisconnected(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.disconnected[pathOf(a, b)]
}
