// Package controlrpc provides remote procedure calls between the processes of the
// system, based on net/rpc. Since net/rpc has neither deadlines nor size limits,
// this package limits the duration of calls, the number of connections and the
// size of messages.
package controlrpc

import (
	"bufio"
	"encoding/gob"
	"io"
	"net/rpc"

	"github.com/cockroachdb/errors"
)

// maxMessageBytes is the maximum size of a message in either direction.
const maxMessageBytes = 16 << 20

// errMessageTooLarge terminates a connection whose peer sends an oversized message.
var errMessageTooLarge = errors.New("message exceeds the size limit")

// limitedReader returns errMessageTooLarge once a message exceeds the size limit.
// It passes the number of bytes of each read to onRead.
type limitedReader struct {
	reader    io.Reader
	remaining int
	onRead    func(bytes int)
}

func (r *limitedReader) reset() { r.remaining = maxMessageBytes }

// Read implements io.Reader.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := r.reader.Read(buffer)
	r.remaining -= n
	r.onRead(n)
	return n, err
}

// codec encodes and decodes messages with gob on either side of a connection.
type codec struct {
	conn    io.ReadWriteCloser
	reader  *limitedReader
	decoder *gob.Decoder
	encoder *gob.Encoder
	buffer  *bufio.Writer
}

func newCodec(conn io.ReadWriteCloser, onRead func(bytes int)) *codec {
	c := newWriteCodec(conn, onRead)
	c.decoder = gob.NewDecoder(bufio.NewReader(c.reader))
	return c
}

// newServerCodec is like newCodec for a peer whose messages take memory of a budget.
func newServerCodec(conn io.ReadWriteCloser, onRead func(bytes int), memory *connMemory) *codec {
	c := newWriteCodec(conn, onRead)
	c.decoder = gob.NewDecoder(&messageReader{reader: bufio.NewReader(c.reader), announce: memory.announce, progress: memory.progress})
	return c
}

// newWriteCodec returns a codec without a decoder.
func newWriteCodec(conn io.ReadWriteCloser, onRead func(bytes int)) *codec {
	reader := &limitedReader{reader: conn, onRead: onRead}
	reader.reset()
	buffer := bufio.NewWriter(conn)
	return &codec{conn: conn, reader: reader, encoder: gob.NewEncoder(buffer), buffer: buffer}
}

func (c *codec) readHeader(header any) error {
	c.reader.reset()
	return c.decoder.Decode(header)
}

func (c *codec) write(header, body any) error {
	if err := c.encoder.Encode(header); err != nil {
		return err
	}
	if err := c.encoder.Encode(body); err != nil {
		return err
	}
	return c.buffer.Flush()
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

func (c clientCodec) ReadResponseHeader(response *rpc.Response) error { return c.readHeader(response) }

func (c clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

func (c clientCodec) Close() error { return c.conn.Close() }

func (c clientCodec) WriteRequest(request *rpc.Request, body any) error {
	return c.write(request, body)
}
