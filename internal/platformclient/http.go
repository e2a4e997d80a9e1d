package platformclient

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/responsehead"
)

// defaultCallTimeout bounds a call whose context has no deadline.
const defaultCallTimeout = 5 * time.Second

// NewRoundTripFunc returns a RoundTripFunc that connects with dial and does not
// retry. If dial is nil, it uses TCP.
func NewRoundTripFunc(dial fasthttp.DialFunc) RoundTripFunc {
	if dial == nil {
		dial = fasthttp.Dial
	}
	client := &fasthttp.Client{
		Dial:                      responsehead.Checked(dial),
		MaxIdemponentCallAttempts: 1,
		MaxResponseBodySize:       64 << 20,
		NoDefaultUserAgentHeader:  true,
	}
	return func(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
		request := fasthttp.AcquireRequest()
		defer fasthttp.ReleaseRequest(request)
		response := fasthttp.AcquireResponse()
		defer fasthttp.ReleaseResponse(response)
		request.Header.SetMethod(method)
		request.SetRequestURI(url)
		request.SetBodyRaw(body)
		deadline, hasDeadline := ctx.Deadline()
		if !hasDeadline {
			deadline = time.Now().Add(defaultCallTimeout)
		}
		if err := ctx.Err(); err != nil {
			return 0, nil, err
		}
		if err := client.DoDeadline(request, response, deadline); err != nil {
			return 0, nil, err
		}
		return response.StatusCode(), append([]byte(nil), response.Body()...), nil
	}
}
