package controlrpc

import (
	"context"
	"fmt"
	"net/rpc"
	"runtime/debug"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// serverConn serves the calls of one connection.
type serverConn struct {
	*codec
	server *Server
	// limited is nil if the connection is not limited.
	limited *callerconn.Conn
	memory  *connMemory
	// callRead is true once a call was read. Only the goroutine that reads uses it.
	callRead bool
	calls    *concurrency.Group
	// writeSlot is held while a response is written.
	writeSlot concurrency.Semaphore
}

// serve reads and runs calls until the connection ends, then waits for those in progress.
func (c *serverConn) serve() {
	c.runNext()
	c.calls.Wait()
	_ = c.conn.Close()
}

// runNext reads one call and runs it. Once it is read, the next one is read in a new
// goroutine, so that net/rpc runs each call in a goroutine of this package, which recovers a
// panic.
func (c *serverConn) runNext() {
	call := &serverCall{conn: c}
	defer func() {
		if value := recover(); value != nil {
			if c.server.OnPanic != nil {
				c.server.OnPanic(call.request.ServiceMethod, value, debug.Stack())
			}
			call.fail(value)
		}
	}()
	// net/rpc has answered a call that it could not start.
	_ = c.server.rpc.ServeRequest(call)
}

// serverCall is one call on a connection. It implements rpc.ServerCodec.
type serverCall struct {
	conn    *serverConn
	request rpc.Request
	read    sync.Once
	// bytes is the memory of the call's messages.
	bytes int
}

// ReadRequestHeader implements rpc.ServerCodec.
func (s *serverCall) ReadRequestHeader(request *rpc.Request) error {
	if s.conn.callRead {
		s.conn.limited.BeginIdle()
	}
	if err := s.conn.readHeader(request); err != nil {
		return err
	}
	s.request.ServiceMethod, s.request.Seq = request.ServiceMethod, request.Seq
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (s *serverCall) ReadRequestBody(body any) error {
	err := s.conn.decoder.Decode(body)
	s.conn.callRead = err == nil
	var exceeded error
	if s.bytes, exceeded = s.conn.memory.begin(); exceeded != nil {
		_ = s.conn.conn.Close()
	}
	s.readNext()
	return errors.CombineErrors(err, exceeded)
}

// readNext makes the connection read its next call.
func (s *serverCall) readNext() {
	s.read.Do(func() { s.conn.calls.Go(func(context.Context) { s.conn.runNext() }) })
}

// WriteResponse implements rpc.ServerCodec.
func (s *serverCall) WriteResponse(response *rpc.Response, body any) error {
	// The holder of the slot releases it within writeTimeout.
	if err := s.conn.writeSlot.Acquire(context.Background()); err != nil {
		return err
	}
	defer s.conn.writeSlot.Release()
	defer s.conn.memory.end(s.bytes)
	err := s.conn.write(response, body)
	if err != nil {
		// The peer does not read or has left; what it sends further can't be answered.
		_ = s.conn.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec. The connection outlives the call.
func (*serverCall) Close() error { return nil }

// fail answers a call that panicked, which may have had an effect. One whose body was not
// read ends the connection, because the position of the next call is unknown.
func (s *serverCall) fail(value any) {
	bodyRead := true
	s.read.Do(func() { bodyRead = false })
	if !bodyRead {
		_ = s.conn.conn.Close()
		return
	}
	_ = s.WriteResponse(&rpc.Response{ServiceMethod: s.request.ServiceMethod, Seq: s.request.Seq, Error: fmt.Sprintf("call panicked: %v", value)}, struct{}{})
}
