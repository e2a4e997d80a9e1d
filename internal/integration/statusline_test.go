package integration

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Guards against an answer of an endpoint in trouble whose status line is not valid in HTTP/1: the
// caller got it with that version and phrase, and the chunks of a stream as its events.
func TestInvalidStatusLineIsNoAnswer(t *testing.T) {
	for name, form := range answerForms {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				for _, line := range []string{
					"HTTP/9.9 200 OK", "HTTP/2 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1 200 OK", "HTTP/1.11 200 OK", "HTTP/1.1x 200 OK", "http/1.1 200 OK",
					"HTTQ/1.1 200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1  200 OK", " HTTP/1.1 200 OK", "\x00HTTP/1.1 200 OK", "HTTP/\x001.1 200 OK", "ICY 200 OK", "200 OK", "HTTP/1.1",
					"HTTP/1.1 200\tOK", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 \x01",
				} {
					i.expectNoAnswer(t, fmt.Sprintf("%q", line), form, func(answer string) string { return strings.Replace(answer, "HTTP/1.1 200 OK", line, 1) })
				}
				i.expectSoundAnswer(t, form)
			})
		})
	}
}

// Guards against an answer in HTTP/1.0 that reaches the caller in that version, or chunks in it,
// which that version does not have, as the bytes of the body.
func TestAnswerInOlderVersion(t *testing.T) {
	older := func(answer string) string { return strings.Replace(answer, "HTTP/1.1", "HTTP/1.0", 1) }
	chat := func(i *installation) platformtest.Request { return i.chatCall(0) }
	unframedStream, _, _ := strings.Cut(strings.Replace(streamedAnswer, "Transfer-Encoding: chunked\r\n", "", 1), "11\r\n")
	for name, c := range map[string]struct {
		form answerForm
		want string
	}{
		"buffered":        {answerForms["buffered"], "confirmed"},
		"without length":  {answerForms["without length"], "confirmed"},
		"unframed stream": {answerForm{unframedStream + "id: 1\ndata: aso\n\n", "drafts", chat}, "id: 1\ndata: aso\n\n"},
		"chunked":         {answerForms["streamed"], ""},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				if c.want == "" {
					i.expectNoAnswer(t, name, c.form, older)
					return
				}
				i.setFaults(c.form.service, platformtest.EndpointFaults{RawResponse: func(attempt, signature string) string {
					return older(fmt.Sprintf(c.form.answer, attempt, signature))
				}})
				response := i.do(c.form.call(i))
				got := callerView{response.Status, response.Signature != "", response.Body}
				if diff := cmp.Diff(callerView{fasthttp.StatusOK, true, c.want}, got); diff != "" || response.Protocol != "HTTP/1.1" || !response.Complete {
					t.Errorf("%s, complete=%t, the caller's view (-want +got):\n%s", response.Protocol, response.Complete, diff)
				}
			})
		})
	}
}
