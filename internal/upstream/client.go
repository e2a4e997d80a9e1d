// Package upstream makes HTTP requests to the next hop: from an entry to an
// agent, and from an agent to its endpoint or to another agent. Its errors state
// whether a failed request may have been executed. It retries no request unless
// configured to.
package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/responsehead"
)

var (
	// ErrNotConnected means that no byte of the request was sent, so it was
	// certainly not executed.
	ErrNotConnected = errors.New("no connection")
	// ErrNoResponse means that the request was sent but no complete response was received,
	// so it may have been executed.
	ErrNoResponse = errors.New("no answer")
)

const (
	// maxBodyBytes and maxLineBytes bound the memory that a next hop can make this
	// process use.
	maxBodyBytes    = 16 << 20
	maxLineBytes    = 1 << 20
	readBufferBytes = 16 << 10

	// IdleConnTimeout is how long an idle connection is kept open. Servers must use a
	// longer idle timeout.
	IdleConnTimeout = 10 * time.Second
)

// Client makes requests. Set the exported fields before the first call; the
// methods are safe for concurrent use.
type Client struct {
	// Dial connects to an address.
	Dial func(address string) (net.Conn, error)
	// FirstByteTimeout bounds the wait for the first byte of a response.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the wait for each further part of a response.
	IdleTimeout time.Duration
	// DisableKeepAlives makes each request use a new connection, so that a
	// connection that the next hop closed while it was idle is never mistaken for a
	// request that may have been executed.
	DisableKeepAlives bool
	// RetryIfClosed allows GET requests to be sent again if their connection was already
	// closed.
	RetryIfClosed bool

	client *fasthttp.Client
}

// Init prepares the client. It must be called once before the first request.
func (c *Client) Init() *Client {
	c.client = &fasthttp.Client{
		Dial:                      responsehead.Checked(c.dial),
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           4096,
		MaxIdleConnDuration:       IdleConnTimeout,
		MaxResponseBodySize:       maxBodyBytes,
		ReadBufferSize:            readBufferBytes,
		StreamResponseBody:        true,
		NoDefaultUserAgentHeader:  true,
	}
	if c.RetryIfClosed {
		c.client.MaxIdemponentCallAttempts, c.client.RetryIfErr = MaxAttempts, RetryIfClosed
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

func (c *Client) dial(address string) (net.Conn, error) {
	conn, err := c.Dial(address)
	if err != nil {
		return nil, errors.Mark(err, ErrNotConnected)
	}
	return &deadlineConn{Conn: conn, firstByteTimeout: c.FirstByteTimeout, idleTimeout: c.IdleTimeout}, nil
}

// Request is one HTTP request.
type Request struct {
	Method  string
	URL     string
	Headers map[string]string
	// ForwardedHeaders are the client's headers that are forwarded to the next hop.
	ForwardedHeaders []Header
	Body             []byte
}

// Response is an HTTP response with a streamed body. The caller must call Close.
type Response struct {
	response *fasthttp.Response
	// header is the header as received: the parser adds the trailer of a chunked body to that of
	// response.
	header fasthttp.ResponseHeader
	reader *bufio.Reader
}

// Do sends the request and returns when the header of the response is received. The
// error is marked ErrNotConnected or ErrNoResponse.
func (c *Client) Do(request Request) (*Response, error) {
	httpRequest := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(httpRequest)
	httpRequest.Header.SetMethod(request.Method)
	httpRequest.SetRequestURI(request.URL)
	for _, header := range request.ForwardedHeaders {
		httpRequest.Header.Add(header.Name, header.Value)
	}
	for name, value := range request.Headers {
		if value != "" {
			httpRequest.Header.Set(name, value)
		}
	}
	httpRequest.SetBodyRaw(request.Body)
	if c.DisableKeepAlives {
		httpRequest.SetConnectionClose()
	}
	response := fasthttp.AcquireResponse()
	if err := c.client.Do(httpRequest, response); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, markError(err)
	}
	return newResponse(response), nil
}

func markError(err error) error {
	if errors.Is(err, ErrNotConnected) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
		return errors.Mark(err, ErrNotConnected)
	}
	return errors.Mark(err, ErrNoResponse)
}

func newResponse(response *fasthttp.Response) *Response {
	result := &Response{response: response}
	response.Header.CopyTo(&result.header)
	if stream := response.BodyStream(); stream != nil {
		result.reader = bufio.NewReaderSize(stream, readBufferBytes)
	}
	return result
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.response.StatusCode() }

// Header returns the value of a header.
func (r *Response) Header(name string) string { return string(r.header.Peek(name)) }

// EndToEnd returns the headers that are forwarded to the client.
func (r *Response) EndToEnd() []Header { return EndToEnd(r.header.All()) }

// ReadLine returns the next line of the body, including its line break.
func (r *Response) ReadLine() ([]byte, error) {
	if r.reader == nil {
		return nil, io.EOF
	}
	var line []byte
	for {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case len(line) > maxLineBytes:
			return nil, errors.Mark(errors.Newf("a line of the answer has more than %d bytes", maxLineBytes), ErrNoResponse)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return line, errors.Mark(err, ErrNoResponse)
		}
		return line, err
	}
}

// ReadBody reads the complete body.
func (r *Response) ReadBody() ([]byte, error) {
	if r.reader == nil {
		return append([]byte(nil), r.response.Body()...), nil
	}
	body, err := io.ReadAll(io.LimitReader(r.reader, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errors.Newf("the answer has more than %d bytes", maxBodyBytes)
	}
	if err != nil {
		return nil, errors.Mark(err, ErrNoResponse)
	}
	return body, nil
}

// ReadThrottled reads the complete body, of up to maxBytes, in parts of up to partSize bytes.
// Before each part it calls wait with the maximum size of the part, and stops if wait returns an
// error. A maxBytes of 0 means the maximum of any body.
func (r *Response) ReadThrottled(partSize, maxBytes int, wait func(bytes int) error) ([]byte, error) {
	if r.reader == nil {
		return r.ReadBody()
	}
	if maxBytes <= 0 {
		maxBytes = maxBodyBytes
	}
	length := r.response.Header.ContentLength()
	var body bytes.Buffer
	body.Grow(min(max(0, length), maxBytes))
	for {
		if length > maxBytes || body.Len() > maxBytes {
			return nil, errors.Mark(errors.Newf("the answer has more than %d bytes", maxBytes), ErrNoResponse)
		}
		next := partSize
		if length >= 0 {
			next = min(partSize, length-body.Len())
		}
		if next > 0 {
			if err := wait(next); err != nil {
				return nil, err
			}
		}
		n, err := io.CopyN(&body, r.reader, int64(max(1, next)))
		if n < int64(max(1, next)) && errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, errors.Mark(err, ErrNoResponse)
		}
	}
}

// Close ends the request. If the body was not read to its end, the connection
// is closed, which signals the next hop that the client has disconnected.
func (r *Response) Close() {
	_ = r.response.CloseBodyStream()
	fasthttp.ReleaseResponse(r.response)
}
