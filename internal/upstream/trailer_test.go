package upstream_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

// Guards against fields behind a chunked body that are taken for fields of the head once the body
// was read: they were forwarded to clients, and named the request that a response belongs to.
func TestTrailerIsNotPartOfTheHead(t *testing.T) {
	group := concurrency.NewGroup(t.Context())
	server := &fakes.RawServer{Group: group, Response: "HTTP/1.1 200 OK\r\nX-Head: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Request-Id: other\r\nX-Other: v\r\nX Other: v\r\n\r\n"}
	client := (&upstream.Client{Dial: server.Dial, FirstByteTimeout: time.Minute, IdleTimeout: time.Minute}).Init()
	defer group.Wait()
	defer client.Close()
	for name, read := range map[string]func(*upstream.Response) ([]byte, error){
		"whole": (*upstream.Response).ReadBody,
		"throttled": func(response *upstream.Response) ([]byte, error) {
			return response.ReadThrottled(partSize, 0, func(int) error { return nil })
		},
	} {
		response, err := client.Do(upstream.Request{Method: fasthttp.MethodGet, URL: "http://peer/"})
		if err != nil {
			t.Fatal(err)
		}
		body, err := read(response)
		if diff := cmp.Diff("body", string(body)); diff != "" || err != nil {
			t.Errorf("%s: body (-want +got), error %v:\n%s", name, err, diff)
		}
		if diff := cmp.Diff([]upstream.Header{{Name: "X-Head", Value: "h"}}, response.EndToEnd()); diff != "" {
			t.Errorf("%s: forwarded fields (-want +got):\n%s", name, diff)
		}
		if got := response.Header("X-Request-Id"); got != "" {
			t.Errorf("%s: request ID %q, want none", name, got)
		}
		response.Close()
	}
}
