package gateway

import (
	"io"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/callerconn"
	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/membudget"
)

const (
	// firstBlockBytes and maxBlockBytes are the sizes of the first block of a body and of the
	// largest ones. Blocks grow with the body, so that a body takes little more memory than it has
	// bytes, whatever its chunks announce.
	firstBlockBytes = 4 << 10
	maxBlockBytes   = 64 << 10
)

// largeBlocks holds blocks of the largest size for reuse: while many bodies are given up, the
// garbage collector would take some time to free them.
var largeBlocks = sync.Pool{New: func() any { return new([maxBlockBytes]byte) }}

// newBlock returns an empty block with a capacity.
func newBlock(size int) []byte {
	if size < maxBlockBytes {
		return make([]byte, 0, size)
	}
	return largeBlocks.Get().(*[maxBlockBytes]byte)[:0]
}

// Reasons for the refusal of a request because of its body.
const (
	reasonBodyTooLarge = "bodyTooLarge"
	reasonBodyTime     = "bodyTime"
	reasonBodyBroken   = "bodyBroken"
	reasonMemory       = dispatch.Reason("memory")
)

// requestBody is the complete body of a request.
type requestBody struct {
	blocks [][]byte
	size   int
	memory *membudget.User
}

// content returns the bytes of the body.
func (b *requestBody) content() [][]byte {
	if b == nil {
		return nil
	}
	return b.blocks
}

// drop releases the memory of the body. A nil body has none.
func (b *requestBody) drop() {
	if b != nil {
		for _, block := range b.blocks {
			if cap(block) == maxBlockBytes {
				largeBlocks.Put((*[maxBlockBytes]byte)(block[:maxBlockBytes]))
			}
		}
		b.blocks = nil
		b.memory.Release()
	}
}

// bodyLimit returns the maximum size of a body.
func (g *Gateway) bodyLimit() int {
	if config := g.configuration(); config != nil && config.Limits().BodyBytes > 0 {
		return min(maxBodyBytes, config.Limits().BodyBytes)
	}
	return maxBodyBytes
}

// readBody reads the body of a request. It returns a refusal if the body exceeds the limit, arrives
// too slowly, ends early, or needs memory that others have; nothing of such a request is sent to an
// endpoint.
func (g *Gateway) readBody(c *fasthttp.RequestCtx) (*requestBody, *refusal) {
	conn := callerconn.Of(c.Conn())
	conn.BeginBody()
	body := &requestBody{memory: g.memory.NewUser(membudget.RequestBody, conn.Interrupt)}
	limit, announced := g.bodyLimit(), c.Request.Header.ContentLength()
	if announced > limit {
		return nil, &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	}
	err := body.readAll(c.RequestBodyStream(), announced, limit, conn)
	if err == nil {
		err = body.memory.Pin()
	}
	if err == nil {
		conn.BeginServing()
		return body, nil
	}
	body.drop()
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return nil, &refusal{status: fasthttp.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	case errors.Is(err, membudget.ErrExceeded), errors.Is(body.memory.Pin(), membudget.ErrExceeded):
		return nil, notExecuted(reasonMemory, defaultRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{status: fasthttp.StatusRequestTimeout, reason: reasonBodyTime}
	default:
		return nil, &refusal{status: fasthttp.StatusBadRequest, reason: reasonBodyBroken}
	}
}

// readAll reads a body of an announced size, which is negative if it is unknown.
func (b *requestBody) readAll(stream io.Reader, announced, limit int, conn *callerconn.Conn) error {
	if stream == nil {
		return nil
	}
	allocated, next := 0, firstBlockBytes
	var block []byte
	for {
		if len(block) == cap(block) {
			if b.size > limit {
				return fasthttp.ErrBodyTooLarge
			}
			size := next
			if announced >= 0 {
				// One byte more than is left, so that the end of the body is read.
				size = min(size, announced-b.size+1)
			}
			allocated, next = allocated+size, min(2*next, maxBlockBytes)
			if err := b.memory.Resize(allocated); err != nil {
				return err
			}
			if err := b.memory.AwaitCaller(conn.Interrupt); err != nil {
				return err
			}
			block = newBlock(size)
			b.blocks = append(b.blocks, nil)
		}
		n, err := stream.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		b.blocks[len(b.blocks)-1] = block
		b.size += n
		switch {
		case b.size > limit:
			return fasthttp.ErrBodyTooLarge
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			if announced >= 0 && b.size < announced {
				return io.ErrUnexpectedEOF
			}
			return nil
		case err != nil:
			return err
		}
	}
}
