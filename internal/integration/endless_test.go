package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Guards against the memory that an answer without end takes, in its head, body, chunks or
// events, and against a caller that waits for it longer than its deadline.
func TestAnswerWithoutEndIsBounded(t *testing.T) {
	const (
		// pieceBytes arrive each pause: 200 MB until the deadline of the shortest call.
		pieceBytes, pause = 1 << 20, 10 * time.Millisecond
		// maxAcceptedBytes is a fraction of the memory of the smallest gateway.
		maxAcceptedBytes = 40 << 20
	)
	piece := strings.Repeat("x", pieceBytes)
	head := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderAttemptID + ": %s\r\n" + platformtest.HeaderSignature + ": %s\r\n"
	cases := map[string]struct{ service, start, repeated string }{
		"head":                {"booking", head + "X-Long: ", piece},
		"many headers":        {"booking", head, strings.Repeat("X-More: "+strings.Repeat("y", 90)+"\r\n", pieceBytes/100)},
		"body without length": {"booking", head + "\r\n", piece},
		"body with length":    {"booking", head + "Content-Length: 4000000000\r\n\r\n", piece},
		"chunks":              {"booking", head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, piece)},
		"chunk size":          {"booking", head + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("0", pieceBytes)},
		"interim responses":   {"booking", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 40)},
		"event":               {"drafts", head + "Content-Type: text/event-stream\r\n\r\ndata: ", piece},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				i.setFaults(c.service, platformtest.EndpointFaults{Endless: c.repeated, EndlessPause: pause, RawResponse: func(attempt, signature string) string {
					if !strings.Contains(c.start, "%s") {
						return c.start
					}
					return fmt.Sprintf(c.start, attempt, signature)
				}})
				call := i.call(0, bookPath)
				if c.service == "drafts" {
					call = i.chatCall(0)
				}
				response, err := platformtest.Do(i.network.ForProcess("caller").Dial, call)
				if err == nil && response.Complete && response.Status < fasthttp.StatusMultipleChoices {
					t.Errorf("the caller got a complete response with status %d and %d bytes", response.Status, len(response.Body))
				}
				if limit := call.Timeout + 500*time.Millisecond; response.Duration > limit {
					t.Errorf("the caller waited for %v, want at most %v", response.Duration, limit)
				}
				accepted := 0
				for _, endpoint := range i.endpoints {
					accepted += endpoint.EndlessBytes()
				}
				if accepted > maxAcceptedBytes {
					t.Errorf("the gateway accepted %d MB, want at most %d", accepted>>20, maxAcceptedBytes>>20)
				}
				i.setFaults(c.service, platformtest.EndpointFaults{})
				time.Sleep(6 * time.Second)
				if next := i.do(i.call(0, statusPath)); next.Status != fasthttp.StatusOK {
					t.Errorf("the next request got status %d", next.Status)
				}
			})
		})
	}
}
