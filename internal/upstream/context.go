package upstream

import (
	"context"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// DoContext is like Do, but returns the error of ctx if that ends first. The abandoned request
// goes on until the next hop responds or the client's timeouts end it.
func (c *Client) DoContext(ctx context.Context, request Request) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	type result struct {
		response *Response
		err      error
	}
	results := make(chan result)
	group := concurrency.NewGroup(ctx)
	defer group.Stop()
	group.Go(func(ctx context.Context) {
		response, err := c.Do(request)
		select {
		case results <- result{response, err}:
		case <-ctx.Done():
			if err == nil {
				response.Close()
			}
		}
	})
	select {
	case done := <-results:
		return done.response, done.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
