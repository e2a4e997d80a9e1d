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
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	totalHeader  = "Mimosaward-Chunk-Bytes"
	waitedHeader = "Mimosaward-Waited-Microseconds"
	// maxHold bounds how long an instance holds another one's request.
	maxHold = 2 * time.Second
)

// getChunk serves a chunk, or a slice of it, to another instance. Status 425
// means that the instance wants the chunk but lacks it so far, 410 that it takes no part.
func (r *Transport) getChunk(c fiber.Ctx) error {
	digest, err := weights.ParseDigest(c.Params("digest"))
	if err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	request := p2p.Request{Chunk: digest}
	request.Offset, _ = strconv.Atoi(c.Query("offset"))
	request.Length, _ = strconv.Atoi(c.Query("length"))
	hold, _ := time.ParseDuration(c.Query("hold"))
	request.MaxWait = min(hold, maxHold)
	request.FetchAsRoot = c.Query("takeOver") == "true"
	request.FetchAsOwner = c.Query("rescue") == "true"
	request.BestEffort = c.Query("spare") == "true"
	served, err := r.Serve(c.Context(), request)
	switch {
	case errors.Is(err, p2p.ErrNotYet):
		return c.SendStatus(fiber.StatusTooEarly)
	case errors.Is(err, p2p.ErrBusy):
		return c.SendStatus(fiber.StatusTooManyRequests)
	case errors.Is(err, p2p.ErrNotParticipating):
		return c.SendStatus(fiber.StatusGone)
	case err != nil:
		return c.SendStatus(fiber.StatusNotFound)
	}
	body := &sentReader{data: served.Data, sent: served.Release}
	waited := served.Waited
	if request.Length > 0 {
		start := time.Now()
		_ = r.up.WaitSlice(c.Context(), len(served.Data))
		waited += time.Since(start)
	} else {
		body.link = r.up
	}
	c.Set(totalHeader, strconv.Itoa(served.Total))
	c.Set(waitedHeader, strconv.FormatInt(waited.Microseconds(), 10))
	c.Response().SetBodyStream(body, len(served.Data))
	return nil
}

// sentReader gives the data of an answer to the server and tells when the
// server has sent it or given up.
type sentReader struct {
	data []byte
	sent func()
	// link, if set, is waited for before each piece.
	link *bandwidth.Link
}

// Read implements io.Reader.
func (r *sentReader) Read(buffer []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, r.data)
	r.data = r.data[n:]
	return n, nil
}

// WriteTo implements io.WriterTo, so that the data is sent without a copy.
func (r *sentReader) WriteTo(w io.Writer) (int64, error) {
	var written int64
	for len(r.data) > 0 {
		piece := r.data
		if r.link != nil {
			piece = piece[:min(bandwidth.PieceBytes, len(piece))]
			_ = r.link.WaitChunk(context.Background(), len(piece))
		}
		n, err := w.Write(piece)
		r.data = r.data[n:]
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements io.Closer; the server calls it once.
func (r *sentReader) Close() error {
	r.sent()
	return nil
}

// FetchPeer asks another instance for a chunk or a slice of it, as the instance's
// link allows. It stops reading when ctx ends.
func (r *Transport) FetchPeer(ctx context.Context, peer membership.Instance, request p2p.Request) (p2p.Response, error) {
	start := time.Now()
	if request.Length > 0 {
		if err := r.down.WaitSlice(ctx, request.Length); err != nil {
			return p2p.Response{}, err
		}
	}
	held := time.Since(start)
	address := fmt.Sprintf("http://%s/chunks/%s?offset=%d&length=%d&hold=%s&takeOver=%t&rescue=%t&spare=%t",
		peer.WorkAddress, request.Chunk, request.Offset, request.Length, request.MaxWait, request.FetchAsRoot, request.FetchAsOwner, request.BestEffort)
	response, err := r.peers.Do(upstream.Request{Method: fiber.MethodGet, URL: address})
	if err != nil {
		return p2p.Response{}, errors.Mark(err, p2p.ErrUnreachable)
	}
	defer response.Close()
	body, err := r.readChunk(ctx, response, request)
	if err != nil {
		return p2p.Response{}, errors.Mark(err, p2p.ErrUnreachable)
	}
	switch response.Status() {
	case fiber.StatusOK:
	case fiber.StatusTooEarly:
		return p2p.Response{}, p2p.ErrNotYet
	case fiber.StatusTooManyRequests:
		return p2p.Response{}, p2p.ErrBusy
	case fiber.StatusGone:
		return p2p.Response{}, p2p.ErrNotParticipating
	default:
		return p2p.Response{}, p2p.ErrNotWanted
	}
	r.OnChunkReceived()
	total, _ := strconv.Atoi(response.Header(totalHeader))
	waited, _ := strconv.Atoi(response.Header(waitedHeader))
	return p2p.Response{Data: body, Total: total, Waited: held + time.Duration(waited)*time.Microsecond}, nil
}

// readChunk reads the answer of another instance. A slice has waited for the link
// already.
func (r *Transport) readChunk(ctx context.Context, response *upstream.Response, request p2p.Request) ([]byte, error) {
	return response.ReadPieces(bandwidth.PieceBytes, func(bytes int) error {
		if request.Length > 0 || response.Status() != fiber.StatusOK {
			return ctx.Err()
		}
		return r.down.WaitChunk(ctx, bytes)
	})
}
