package transport

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/bandwidth"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

const (
	chunkBytesHeader = "Mimosaward-Chunk-Bytes"
	waitedHeader     = "Mimosaward-Waited-Microseconds"
	// maxRequestWait is the maximum time that a request of another instance waits for the
	// chunk.
	maxRequestWait = 2 * time.Second
)

// handleChunk serves a chunk or a slice of it to another instance. Status 425 means that
// the instance wants the chunk but does not have it yet, 429 that it has no spare upload
// capacity, 410 that it does not take part in the rollout, and 404 that it does not want
// the weight set.
func (t *Transport) handleChunk(c fiber.Ctx) error {
	request, err := parseChunkRequest(c)
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	response, err := t.Serve(c.Context(), request)
	switch {
	case errors.Is(err, p2p.ErrNotReady):
		return c.SendStatus(fiber.StatusTooEarly)
	case errors.Is(err, p2p.ErrBusy):
		return c.SendStatus(fiber.StatusTooManyRequests)
	case errors.Is(err, p2p.ErrNotParticipating):
		return c.SendStatus(fiber.StatusGone)
	case err != nil:
		return c.SendStatus(fiber.StatusNotFound)
	}
	body := &responseBody{data: response.Data, release: response.Release}
	waited := response.Waited
	if request.Length > 0 {
		start := time.Now()
		_ = t.uplink.WaitSlice(c.Context(), len(response.Data))
		waited += time.Since(start)
	} else {
		body.link = t.uplink
	}
	c.Set(chunkBytesHeader, strconv.Itoa(response.Total))
	c.Set(waitedHeader, strconv.FormatInt(waited.Microseconds(), 10))
	c.Response().SetBodyStream(body, len(response.Data))
	return nil
}

// responseBody passes the data of a response to the HTTP server, and calls release when
// the server has sent it or failed to.
type responseBody struct {
	data    []byte
	release func()
	// link, if not nil, limits the rate of the blocks.
	link *bandwidth.Link
}

// Read implements io.Reader.
func (b *responseBody) Read(buffer []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, b.data)
	b.data = b.data[n:]
	return n, nil
}

// WriteTo implements io.WriterTo, so that the data is sent without copying it.
func (b *responseBody) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for len(b.data) > 0 {
		block := b.data
		if b.link != nil {
			block = block[:min(bandwidth.BlockBytes, len(block))]
			_ = b.link.WaitChunk(context.Background(), len(block))
		}
		n, err := w.Write(block)
		b.data = b.data[n:]
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements io.Closer. The server calls it exactly once.
func (b *responseBody) Close() error {
	b.release()
	return nil
}

// FetchPeer fetches a chunk or a slice of it from another instance, within the capacity
// of the instance's own link. It stops reading when ctx ends.
func (t *Transport) FetchPeer(ctx context.Context, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
	start := time.Now()
	if request.Length > 0 {
		if err := t.downlink.WaitSlice(ctx, request.Length); err != nil {
			return p2p.Response{}, err
		}
	}
	linkDelay := time.Since(start)
	address := fmt.Sprintf("http://%s/chunks/%s?offset=%d&length=%d&hold=%s&takeOver=%t&rescue=%t&spare=%t",
		peer.WorkAddress, request.Chunk, request.Offset, request.Length, request.MaxWait, request.FetchAsRoot, request.FetchAsOwner, request.BestEffort)
	response, err := t.client.DoContext(ctx, upstream.Request{Method: fiber.MethodGet, URL: address})
	if err != nil {
		return p2p.Response{}, errors.Mark(err, p2p.ErrUnreachable)
	}
	defer response.Close()
	body, err := t.readChunk(ctx, response, request)
	if err != nil {
		return p2p.Response{}, errors.Mark(err, p2p.ErrUnreachable)
	}
	switch response.Status() {
	case fiber.StatusOK:
	case fiber.StatusTooEarly:
		return p2p.Response{}, p2p.ErrNotReady
	case fiber.StatusTooManyRequests:
		return p2p.Response{}, p2p.ErrBusy
	case fiber.StatusGone:
		return p2p.Response{}, p2p.ErrNotParticipating
	default:
		return p2p.Response{}, p2p.ErrNotWanted
	}
	t.OnChunkReceived()
	total, _ := strconv.Atoi(response.Header(chunkBytesHeader))
	waited, _ := strconv.Atoi(response.Header(waitedHeader))
	return p2p.Response{Data: body, Total: total, Waited: linkDelay + time.Duration(waited)*time.Microsecond}, nil
}

// readChunk reads the body of a response. It limits the rate only for whole chunks,
// since a slice has already waited for the link.
func (t *Transport) readChunk(ctx context.Context, response *upstream.Response, request p2p.Request) ([]byte, error) {
	return response.ReadThrottled(bandwidth.BlockBytes, request.MaxBytes, func(bytes int) error {
		if request.Length > 0 || response.Status() != fiber.StatusOK {
			return ctx.Err()
		}
		return t.downlink.WaitChunk(ctx, bytes)
	})
}
