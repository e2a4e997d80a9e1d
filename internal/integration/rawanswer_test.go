package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// answerForm is a form of an endpoint's sound answer, and the call that gets it.
type answerForm struct {
	answer, service string
	call            func(i *installation) platformtest.Request
}

// answerForms are the forms in which endpoints frame their answers.
var answerForms = map[string]answerForm{
	"buffered":       {bufferedAnswer, "booking", func(i *installation) platformtest.Request { return i.call(0, bookPath) }},
	"without length": {endlessAnswer, "booking", func(i *installation) platformtest.Request { return i.call(0, bookPath) }},
	"streamed":       {streamedAnswer, "drafts", func(i *installation) platformtest.Request { return i.chatCall(0) }},
}

// callerView is what a caller got that does not depend on the attempt.
type callerView struct {
	Status int
	Signed bool
	Body   string
}

// endpointFailed is the gateway's own answer where the endpoint's bytes are no answer.
var endpointFailed = callerView{Status: fasthttp.StatusBadGateway, Body: "endpointFailed\n"}

// expectNoAnswer checks that a caller gets none of the changed answer of an endpoint.
func (i *installation) expectNoAnswer(t *testing.T, label string, form answerForm, change func(answer string) string) {
	t.Helper()
	i.setFaults(form.service, platformtest.EndpointFaults{RawResponse: func(attempt, signature string) string {
		return change(fmt.Sprintf(form.answer, attempt, signature))
	}})
	response, err := platformtest.Do(i.network.ForProcess("caller").Dial, form.call(i))
	got := callerView{response.Status, response.Signature != "", response.Body}
	if diff := cmp.Diff(endpointFailed, got); diff != "" || err != nil {
		t.Errorf("%s: the caller's view (-want +got), error %v:\n%s", label, err, diff)
	}
	// Endpoints that failed are used again after a while.
	time.Sleep(5 * time.Second)
}

// expectSoundAnswer checks that the sound answer reaches a caller afterwards.
func (i *installation) expectSoundAnswer(t *testing.T, form answerForm) {
	t.Helper()
	i.setFaults(form.service, platformtest.EndpointFaults{})
	if response := i.do(form.call(i)); response.Status != fasthttp.StatusOK {
		t.Errorf("status %d of a sound answer afterwards, want 200", response.Status)
	}
}

// addFirstField and addLastField add a line to the head of an answer.
func addFirstField(answer, line string) string {
	return strings.Replace(answer, "\r\n", "\r\n"+line+"\r\n", 1)
}

func addLastField(answer, line string) string {
	return strings.Replace(answer, "\r\n\r\n", "\r\n"+line+"\r\n\r\n", 1)
}
