package upstream_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

// Guards against bytes of a next hop in trouble that are no response, and that an agent or an entry
// passes on as one, or that make it send a request again that may have run.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for name, response := range fakes.InvalidResponses("body") {
		for method, retry := range map[string]bool{fasthttp.MethodPost: false, fasthttp.MethodGet: true} {
			group := concurrency.NewGroup(t.Context())
			server := &fakes.RawServer{Group: group, Response: response}
			client := (&upstream.Client{Dial: server.Dial, FirstByteTimeout: time.Minute, IdleTimeout: time.Minute, RetryIfClosed: retry}).Init()
			response, err := client.Do(upstream.Request{Method: method, URL: "http://peer/"})
			if err == nil {
				t.Errorf("%s: %s got status %d, want an error", name, method, response.Status())
				response.Close()
			} else if !errors.Is(err, upstream.ErrNoResponse) || server.Requests() != 1 {
				t.Errorf("%s: %s was sent %d times, error %v, want once and ErrNoResponse", name, method, server.Requests(), err)
			}
			client.Close()
			group.Wait()
		}
	}
}
