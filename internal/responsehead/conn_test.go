package responsehead_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/responsehead"
)

// bodyLikeHead would be an invalid head if it was not a body.
const bodyLikeHead = "HTTP/1.1 000 X\r\nX Other: v\r\n\r\n"

// read sends a request on a connection whose server responds with a text to each, and parses the
// response. It reads the connection byte by byte if slow is set.
func read(conn net.Conn, slow bool) (string, error) {
	if _, err := conn.Write([]byte("x")); err != nil {
		return "", err
	}
	var source io.Reader = conn
	if slow {
		source = iotest.OneByteReader(conn)
	}
	reader := bufio.NewReaderSize(source, 64<<10)
	var response fasthttp.Response
	err := response.Read(reader)
	return string(response.Body()), err
}

// dial returns a checked connection to a server that responds to each byte that it receives.
func dial(t *testing.T, responses ...string) net.Conn {
	t.Helper()
	client, server := net.Pipe()
	group := concurrency.NewGroup(t.Context())
	group.Go(func(context.Context) {
		defer func() { _ = server.Close() }()
		for _, response := range responses {
			if _, err := server.Read(make([]byte, 1)); err != nil {
				return
			}
			if _, err := server.Write([]byte(response)); err != nil {
				return
			}
		}
	})
	conn, err := responsehead.Checked(func(string) (net.Conn, error) { return client, nil })("server")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		group.Wait()
	})
	return conn
}

// Guards against a head that is checked only if it arrives at once, against the check of a body as
// a head, and against a second response on a connection that is not checked.
func TestEachHeadOfAConnectionIsChecked(t *testing.T) {
	sound := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + bodyLikeHead + "\n"
	cases := map[string]struct {
		response string
		want     error
	}{
		"status":      {strings.Replace(sound, "200", "000", 1), responsehead.ErrInvalidStatus},
		"status line": {strings.Replace(sound, "1.1 200", "9.9 200", 1), responsehead.ErrInvalidStatusLine},
		"field name":  {strings.Replace(sound, "Content-", "Content ", 1), responsehead.ErrInvalidFieldName},
		"framing":     {strings.Replace(sound, "Content-Length", "Transfer-Encoding: chunked\r\nContent-Length", 1), responsehead.ErrAmbiguousFraming},
		"too large":   {"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Other: v\r\n", 4000), responsehead.ErrTooLarge},
	}
	for name, c := range cases {
		for _, slow := range []bool{false, true} {
			conn := dial(t, sound, c.response)
			body, err := read(conn, slow)
			if diff := cmp.Diff(bodyLikeHead+"\n", body); diff != "" || err != nil {
				t.Errorf("%s, slow=%t: body of the first response (-want +got), error %v:\n%s", name, slow, err, diff)
			}
			if body, err := read(conn, slow); !errors.Is(err, c.want) {
				t.Errorf("%s, slow=%t: body %q, error %v, want %v", name, slow, body, err, c.want)
			}
		}
	}
}
