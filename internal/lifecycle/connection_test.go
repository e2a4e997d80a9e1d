package lifecycle

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

const (
	// receiveBuffer is the size of the callers' receive buffers. Together with the send
	// buffer of a connection, which is at most 4 MB, it is smaller than a long response, so
	// that a gateway cannot leave such a response to the operating system. It is several
	// times the segment size of the loopback interface, below which transfers stall.
	receiveBuffer = 256 << 10
	// answerSlack is how long after the end of its time budget a caller waits for the
	// response.
	answerSlack = 5 * time.Second
)

// connection is a caller's connection to a gateway.
type connection struct {
	conn    net.Conn
	reader  *bufio.Reader
	process *process
	used    bool
	// closed is true if no further request may be sent.
	closed bool
}

// connect opens a connection to the gateway, or returns the error and the process that
// should have accepted the connection.
func connect(ctx context.Context, d *daemon) (*connection, *process, error) {
	p := d.process()
	conn, err := d.dial(ctx)
	if err != nil {
		return nil, p, err
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetReadBuffer(receiveBuffer)
	}
	if next := d.process(); next != p {
		// Either process may have accepted the connection.
		_ = conn.Close()
		return nil, next, errAmbiguous
	}
	return &connection{conn: conn, reader: bufio.NewReaderSize(conn, 4<<10), process: p}, p, nil
}

func (c *connection) close() {
	c.closed = true
	_ = c.conn.Close()
}

// do sends a call and reads the response.
func (c *connection) do(sent *call) *attempt {
	a := &attempt{call: sent, process: c.process, reused: c.used, startedAt: time.Now()}
	c.used = true
	var left atomic.Bool
	if sent.leaveAfter > 0 {
		timer := time.AfterFunc(sent.leaveAfter, func() {
			left.Store(true)
			_ = c.conn.Close()
		})
		defer timer.Stop()
	}
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(sent.pieces)*sent.piecePause + sent.budget + answerSlack))
	c.send(a)
	_ = c.conn.SetReadDeadline(time.Now().Add(sent.budget + answerSlack))
	c.receive(a)
	a.endedAt, a.left = time.Now(), left.Load()
	if !a.complete || a.err != nil {
		c.close()
	}
	return a
}

// send sends the request in pieces. After an error there may still be a response.
func (c *connection) send(a *attempt) {
	for index, piece := range a.call.encode() {
		if index > 0 {
			time.Sleep(a.call.piecePause)
		}
		if _, a.err = c.conn.Write(piece); a.err != nil {
			return
		}
	}
	a.sentAt = time.Now()
}

func (c *connection) receive(a *attempt) {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.answeredID, a.signature = response.StatusCode, response.Header.Get(platformtest.HeaderAttemptID), response.Header.Get(platformtest.HeaderSignature)
	a.err = c.receiveBody(a, response)
	// A body without a length that ends with its connection doesn't count as complete.
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	a.complete = a.err == nil && framed
	if response.Close {
		c.close()
	}
}

func (c *connection) receiveBody(a *attempt, response *http.Response) error {
	var body strings.Builder
	buffer := make([]byte, readSize)
	defer func() { a.body = body.String() }()
	for {
		filled := 0
		for filled < len(buffer) {
			n, err := response.Body.Read(buffer[filled:])
			filled += n
			if err != nil {
				body.Write(buffer[:filled])
				return ignoreEOF(err)
			}
		}
		body.Write(buffer[:filled])
		time.Sleep(a.call.readPause)
	}
}
