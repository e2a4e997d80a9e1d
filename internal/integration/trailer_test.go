package integration

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Guards against fields behind the body of an endpoint's answer that reach the caller in the head
// of the response, where they would be the endpoint's word on the answer or its framing.
func TestTrailerIsNotPartOfTheHead(t *testing.T) {
	const emptyStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + platformtest.HeaderAttemptID + ": %s\r\n" + platformtest.HeaderSignature + ": %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	chunkedAnswer := strings.Replace(streamedAnswer, "text/event-stream", "text/plain", 1)
	chat := func(i *installation) platformtest.Request { return i.chatCall(0) }
	for name, form := range map[string]answerForm{
		"buffered":         {chunkedAnswer, "booking", func(i *installation) platformtest.Request { return i.call(0, bookPath) }},
		"streamed":         {streamedAnswer, "drafts", chat},
		"empty stream":     {emptyStream, "drafts", chat},
		"error for stream": {strings.Replace(chunkedAnswer, "200 OK", "404 Not Found", 1), "drafts", chat},
	} {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				answer := func(trailer string) platformtest.Response {
					i.setFaults(form.service, platformtest.EndpointFaults{RawResponse: func(attempt, signature string) string {
						return strings.TrimSuffix(fmt.Sprintf(form.answer, attempt, signature), "\r\n") + trailer + "\r\n"
					}})
					return i.do(form.call(i))
				}
				want := answer("")
				for _, trailer := range []string{
					"X-Other: v\r\n", "X Other: v\r\n", "Retry-After: 2\r\n", "Link: <a>\r\nLink: <b>\r\n", "X-Other:\r\n",
					platformtest.HeaderAttemptID + ": other\r\n", platformtest.HeaderSignature + ": other\r\n",
				} {
					got := answer(trailer)
					if diff := cmp.Diff(want.FieldNames, got.FieldNames); diff != "" {
						t.Errorf("trailer %q: fields of the head (-want +got):\n%s", trailer, diff)
					}
					if got.Status != want.Status || got.Body != want.Body || !got.Complete {
						t.Errorf("trailer %q: status %d, complete=%t, body %q, want %d and %q", trailer, got.Status, got.Complete, got.Body, want.Status, want.Body)
					}
				}
				if !slices.Contains(want.FieldNames, platformtest.HeaderSignature) || want.Status >= fasthttp.StatusInternalServerError {
					t.Errorf("without a trailer: status %d with the fields %q, want the endpoint's answer", want.Status, want.FieldNames)
				}
			})
		})
	}
}
