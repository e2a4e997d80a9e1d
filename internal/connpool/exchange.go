package connpool

import (
	"bufio"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/membudget"
)

// Exchange is one request and its response on a connection. The caller must call either
// Finish or Discard. Conn.Abort may be called concurrently; Discard must follow.
type Exchange struct {
	pool     *Pool
	conn     *Conn
	response *fasthttp.Response
	// skipped counts the responses that belonged to other requests.
	skipped int
	// memory is the part of the pool's budget that the body uses, nil if there is no bound.
	memory *membudget.User
}

// ErrResponseMismatch means that the connection carries responses to other requests.
var ErrResponseMismatch = errors.New("response belongs to another request")

// maxSkippedResponses is the maximum number of responses to other requests that are
// skipped.
const maxSkippedResponses = 3

// Send writes a request with its body to a connection. If it fails, the endpoint may have
// executed the request, unless the error is marked ErrNotSent.
func (p *Pool) Send(conn *Conn, header *fasthttp.RequestHeader, body []byte, deadline time.Time) (*Exchange, error) {
	return p.SendBlocks(conn, header, [][]byte{body}, deadline)
}

// SendBlocks is like Send for a body that consists of blocks.
func (p *Pool) SendBlocks(conn *Conn, header *fasthttp.RequestHeader, body [][]byte, deadline time.Time) (*Exchange, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		_ = conn.Close()
		return nil, errors.Mark(err, ErrNotSent)
	}
	size := 0
	for _, block := range body {
		size += len(block)
	}
	header.SetContentLength(size)
	counter := &countingWriter{writer: conn}
	writer := bufio.NewWriterSize(counter, writeBufferBytes)
	err := header.Write(writer)
	for index := 0; index < len(body) && err == nil; index++ {
		_, err = writer.Write(body[index])
	}
	if err == nil {
		err = writer.Flush()
	}
	if err != nil {
		conn.Abort()
		if counter.written == 0 {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, errors.Wrapf(err, "send request to %s", conn.address)
	}
	return &Exchange{pool: p, conn: conn, response: fasthttp.AcquireResponse(), memory: p.Budget.NewUser(membudget.Endpoint, conn.Abort)}, nil
}

// writeBufferBytes is enough for a typical request, so that it is sent in one write.
const writeBufferBytes = 4 << 10

// countingWriter counts the bytes that were written.
type countingWriter struct {
	writer  io.Writer
	written int
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	n, err := w.writer.Write(data)
	w.written += n
	return n, err
}

// ReadHeader reads the response header. The function matches reports whether a header
// belongs to the response to this request; responses to other requests are skipped, up to
// maxSkippedResponses. hasBody must be false if the response has no body, as for HEAD.
func (e *Exchange) ReadHeader(deadline time.Time, hasBody bool, matches func(*fasthttp.ResponseHeader) bool) (*fasthttp.ResponseHeader, error) {
	if err := e.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	for ; e.skipped <= maxSkippedResponses; e.skipped++ {
		e.response.Reset()
		e.response.StreamBody = true
		e.response.SkipBody = !hasBody
		if err := checkHead(e.conn.reader); err != nil {
			return nil, errors.Wrapf(err, "read response header from %s", e.conn.address)
		}
		if err := e.response.ReadLimitBody(e.conn.reader, 0); err != nil {
			return nil, errors.Wrapf(err, "read response header from %s", e.conn.address)
		}
		if matches(&e.response.Header) {
			return &e.response.Header, nil
		}
		if _, err := io.Copy(io.Discard, e.bodyReader()); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "skip a response from %s to another request", e.conn.address), ErrResponseMismatch)
		}
	}
	return nil, errors.Mark(errors.Newf("%s sent responses to %d other requests", e.conn.address, e.skipped), ErrResponseMismatch)
}

func (e *Exchange) bodyReader() io.Reader {
	if stream := e.response.BodyStream(); stream != nil {
		return stream
	}
	return eofReader{}
}

// eofReader is an empty response body.
type eofReader struct{}

// Read implements io.Reader.
func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// Header returns the response header.
func (e *Exchange) Header() *fasthttp.ResponseHeader { return &e.response.Header }

// Framed reports whether the body has a length or chunks. The end of any other one is the
// end of its connection, which may also be that of the endpoint.
func (e *Exchange) Framed() bool {
	return e.response.Header.ContentLength() != contentLengthUntilClose
}

// Skipped returns the number of skipped responses to other requests.
func (e *Exchange) Skipped() int { return e.skipped }

// Read reads a part of the body and fails after the deadline. It returns io.EOF only at the
// end of a complete body.
func (e *Exchange) Read(buffer []byte, deadline time.Time) (int, error) {
	if err := e.conn.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return e.bodyReader().Read(buffer)
}

// maxBufferedBody is the maximum size of a body that is read as a whole: an endpoint in trouble
// may send bytes without end.
const maxBufferedBody = 32 << 20

// ErrBodyTooLarge means that a body exceeds maxBufferedBody.
var ErrBodyTooLarge = errors.Newf("response body exceeds %d bytes", maxBufferedBody)

// bodyBlockBytes is the size of the blocks in which a body is read as a whole.
const bodyBlockBytes = 16 << 10

// bodyBlocks holds blocks for reuse: while many bodies are read, the garbage collector would take
// some time to free them.
var bodyBlocks = sync.Pool{New: func() any { return new([bodyBlockBytes]byte) }}

// ReleaseBlocks says that blocks of ReadBlocks are not used any more. A caller may omit it.
func ReleaseBlocks(blocks ...[]byte) {
	for _, block := range blocks {
		if cap(block) == bodyBlockBytes {
			bodyBlocks.Put((*[bodyBlockBytes]byte)(block[:bodyBlockBytes]))
		}
	}
}

// ReadAll reads the rest of the body and fails after the deadline.
func (e *Exchange) ReadAll(deadline time.Time) ([]byte, error) {
	blocks, err := e.ReadBlocks(deadline)
	if len(blocks) == 1 {
		return blocks[0], err
	}
	return slices.Concat(blocks...), err
}

// ReadBlocks is like ReadAll, but returns the body in blocks, which take no more memory than the
// exchange has reserved.
func (e *Exchange) ReadBlocks(deadline time.Time) ([][]byte, error) {
	if err := e.conn.SetReadDeadline(deadline); err != nil {
		return nil, err
	}
	reader := e.bodyReader()
	var blocks [][]byte
	var block []byte
	for size := 0; ; {
		if len(block) == cap(block) {
			if err := e.Reserve(size + bodyBlockBytes); err != nil {
				return nil, err
			}
			if len(block) > 0 {
				blocks = append(blocks, block)
			}
			block = bodyBlocks.Get().(*[bodyBlockBytes]byte)[:0]
		}
		n, err := reader.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		size += n
		switch {
		case size > maxBufferedBody:
			return nil, ErrBodyTooLarge
		case errors.Is(err, io.EOF):
			return append(blocks, block), nil
		case err != nil:
			return nil, err
		}
	}
}

// Reserve reserves memory for a number of bytes of the body, and fails if all that the process
// holds takes too much. An exchange that is given up for others is aborted.
func (e *Exchange) Reserve(bytes int) error { return e.memory.Resize(bytes) }

// Memory returns the user of the pool's budget that has what Reserve reserved. It belongs to the
// exchange until KeepMemory is called.
func (e *Exchange) Memory() *membudget.User { return e.memory }

// KeepMemory makes the caller responsible for the release of the exchange's memory, because it
// keeps the body beyond the end of the exchange.
func (e *Exchange) KeepMemory() *membudget.User {
	memory := e.memory
	e.memory = nil
	return memory
}

// Finish ends an exchange whose body was read completely. If reuse is false, the connection
// must not carry another request. idleTimeout is the endpoint's idle timeout for the
// connection; 0 means that the endpoint did not send one.
func (e *Exchange) Finish(reuse bool, idleTimeout time.Duration) {
	framed := e.Framed()
	e.release()
	if !reuse || !framed || e.skipped > 0 || e.conn.closed.Load() {
		_ = e.conn.Close()
		e.pool.noteLost(e.conn.address, ReasonClosed)
		return
	}
	e.pool.put(e.conn, idleTimeout)
}

// contentLengthUntilClose is the library's content length of a body that ends with its
// connection.
const contentLengthUntilClose = -2

// Abort resets the connection of the exchange. It may be called concurrently with other methods.
func (e *Exchange) Abort() { e.conn.Abort() }

// Discard ends an exchange whose body was not read completely. It resets the connection.
func (e *Exchange) Discard() {
	e.conn.Abort()
	e.pool.noteLost(e.conn.address, ReasonAborted)
	e.release()
}

func (e *Exchange) release() {
	e.memory.Release()
	if e.response != nil {
		_ = e.response.CloseBodyStream()
		fasthttp.ReleaseResponse(e.response)
		e.response = nil
	}
}
