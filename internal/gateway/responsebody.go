package gateway

import (
	"io"

	"github.com/mimosaward/mimosaward/internal/connpool"
	"github.com/mimosaward/mimosaward/internal/membudget"
)

// responseBody is a buffered response that is being sent to a caller. What was sent is released.
type responseBody struct {
	blocks [][]byte
	// offset is what was sent of the first block, and left the size of what was not sent.
	offset int
	left   int
	memory *membudget.User
}

// sendBody makes the blocks the body of the response to the request. The attempt's memory then
// belongs to the body. It returns an error if that was given up.
func (r *request) sendBody(a *attempt, blocks [][]byte) error {
	size := 0
	for _, block := range blocks {
		size += len(block)
	}
	if len(blocks) == 1 && size <= membudget.FreeBytes {
		r.httpCtx.Response.SetBody(blocks[0])
		connpool.ReleaseBlocks(blocks...)
		return nil
	}
	// The exchange ends before the response is sent, so that its connection must not be aborted
	// any more if the memory is given up.
	if err := a.exchange.Memory().AwaitCaller(r.caller.Abort); err != nil {
		return err
	}
	body := &responseBody{blocks: blocks, left: size, memory: a.exchange.KeepMemory()}
	r.httpCtx.Response.SetBodyStream(body, size)
	return nil
}

// SupportsBodyWriteTo makes the server call WriteTo.
func (*responseBody) SupportsBodyWriteTo() bool { return true }

// WriteTo implements io.WriterTo.
func (b *responseBody) WriteTo(writer io.Writer) (int64, error) {
	written := int64(0)
	for len(b.blocks) > 0 {
		n, err := writer.Write(b.blocks[0][b.offset:])
		written += int64(n)
		if err == nil {
			err = b.advance(n)
		}
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// advance records that n bytes of the first block were sent.
func (b *responseBody) advance(n int) error {
	b.offset += n
	b.left -= n
	if b.offset < len(b.blocks[0]) {
		return nil
	}
	connpool.ReleaseBlocks(b.blocks[0])
	b.blocks, b.offset = b.blocks[1:], 0
	return b.memory.Resize(b.left)
}

// Read implements io.Reader. The server calls it when it has sent what it read before.
func (b *responseBody) Read(buffer []byte) (int, error) {
	if len(b.blocks) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, b.blocks[0][b.offset:])
	return n, b.advance(n)
}

// Close implements io.Closer; the server calls it once.
func (b *responseBody) Close() error {
	connpool.ReleaseBlocks(b.blocks...)
	b.blocks = nil
	b.memory.Release()
	return nil
}
