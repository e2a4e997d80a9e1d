package upstream_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

const partSize = 4 << 10

// serve starts a server that responds to every request with body and returns a client
// for it.
func serve(t *testing.T, body []byte) *upstream.Client {
	t.Helper()
	listener := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) { c.SetBodyStream(bytes.NewReader(body), len(body)) }}
	group := concurrency.NewGroup(t.Context())
	group.Go(func(context.Context) { _ = server.Serve(listener) })
	client := &upstream.Client{
		Dial:             func(string) (net.Conn, error) { return listener.Dial() },
		FirstByteTimeout: time.Minute, IdleTimeout: time.Minute,
	}
	client.Init()
	t.Cleanup(func() {
		client.Close()
		_ = listener.Close()
		group.Wait()
	})
	return client
}

func TestReadThrottled(t *testing.T) {
	for _, length := range []int{0, 1, partSize - 1, partSize, partSize + 1, 10 * partSize} {
		want := bytes.Repeat([]byte("w"), length)
		response, err := serve(t, want).Do(upstream.Request{Method: "GET", URL: "http://peer/"})
		if err != nil {
			t.Fatal(err)
		}
		got, err := response.ReadThrottled(partSize, 0, func(int) error { return nil })
		response.Close()
		if err != nil || !bytes.Equal(got, want) {
			t.Errorf("body of %d bytes: read %d bytes, error %v", length, len(got), err)
		}
	}
}

// When wait returns an error, for example because the weight set was superseded, no
// further bytes are read.
func TestReadThrottledStops(t *testing.T) {
	errStop := errors.New("stop")
	response, err := serve(t, make([]byte, 100*partSize)).Do(upstream.Request{Method: "GET", URL: "http://peer/"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	waits := 0
	_, err = response.ReadThrottled(partSize, 0, func(int) error {
		if waits++; waits > 3 {
			return errStop
		}
		return nil
	})
	if !errors.Is(err, errStop) || waits != 4 {
		t.Errorf("read ended after %d waits with error %v, want 4 waits and %v", waits, err, errStop)
	}
}

// A next hop cannot make this process buffer more than the size limits, however the body is read.
func TestResponseSizeLimits(t *testing.T) {
	readers := map[string]func(response *upstream.Response) error{
		"line": func(response *upstream.Response) error {
			_, err := response.ReadLine()
			return err
		},
		"body": func(response *upstream.Response) error {
			_, err := response.ReadBody()
			return err
		},
		"throttled body": func(response *upstream.Response) error {
			_, err := response.ReadThrottled(partSize, 0, func(int) error { return nil })
			return err
		},
		"throttled body with a smaller limit": func(response *upstream.Response) error {
			_, err := response.ReadThrottled(partSize, 10*partSize, func(int) error { return nil })
			return err
		},
	}
	for name, read := range readers {
		response, err := serve(t, make([]byte, 20<<20)).Do(upstream.Request{Method: "GET", URL: "http://peer/"})
		if err != nil {
			t.Fatal(err)
		}
		if err := read(response); !errors.Is(err, upstream.ErrNoResponse) {
			t.Errorf("%s of 20 MiB: got error %v, want ErrNoResponse", name, err)
		}
		response.Close()
	}
}

// The last wait covers only the remaining bytes of the body, so that no more of the
// link's bandwidth is reserved than is used.
func TestReadThrottledWaitsForRemainingBytes(t *testing.T) {
	response, err := serve(t, make([]byte, 2*partSize+10)).Do(upstream.Request{Method: "GET", URL: "http://peer/"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Close()
	var waits []int
	if _, err := response.ReadThrottled(partSize, 0, func(bytes int) error {
		waits = append(waits, bytes)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int{partSize, partSize, 10}, waits); diff != "" {
		t.Errorf("bytes waited for (-want +got):\n%s", diff)
	}
}
