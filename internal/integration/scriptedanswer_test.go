package integration

import (
	"cmp"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// startScriptedService replaces the endpoints of the service "booking" by a scripted one.
func (i *installation) startScriptedService() *platformtest.ScriptedEndpoint {
	for _, endpoint := range i.endpoints {
		if endpoint.Service == "booking" {
			endpoint.Deregister()
		}
	}
	scripted := &platformtest.ScriptedEndpoint{Endpoint: &platformtest.Endpoint{
		ID: "scripted", Incarnation: 1, Service: "booking", Address: "10.0.90.3:90", Zone: zoneName(0), Slots: 6, Store: i.store,
	}}
	listener, err := i.network.ForProcess("scripted").Listen(scripted.Endpoint.Address)
	if err != nil {
		i.t.Fatal(err)
	}
	i.fakeGroup.Go(func(ctx context.Context) { scripted.Serve(ctx, listener) })
	scripted.Endpoint.Register("ready")
	time.Sleep(2 * time.Second)
	return scripted
}

const (
	confirmed = "confirmed"
	// foreignAnswer is a valid answer to another request.
	foreignAnswer = "HTTP/1.1 200 OK\r\n" + platformtest.HeaderAttemptID + ": other\r\n" + platformtest.HeaderSignature + ": scripted.other\r\nContent-Length: 5\r\n\r\nother"
	oneByteEvery  = 100 * time.Millisecond
)

// once returns a script that sends a text after it has read the request.
func once(text string) platformtest.Script {
	return platformtest.Script{Answer: []platformtest.ScriptStep{{Send: text}}}
}

// endlessly returns a script that sends a text and then, again and again, another one.
func endlessly(text, repeated string) platformtest.Script {
	return platformtest.Script{Answer: []platformtest.ScriptStep{{Send: text}, {Wait: oneByteEvery, Send: repeated, Forever: true}}}
}

// scriptedCases are the answers of an endpoint that misbehaves.
var scriptedCases = map[string]struct {
	script platformtest.Script
	// served is true if the caller may get the answer, which is valid up to its end. body is
	// its body if it is not the usual one.
	served bool
	body   string
}{
	"text before the answer":        {once("hello\r\n" + platformtest.ScriptedAnswer(confirmed)), false, ""},
	"binary bytes before it":        {once("\x00\x01\xff" + platformtest.ScriptedAnswer(confirmed)), false, ""},
	"another answer before it":      {once(foreignAnswer + platformtest.ScriptedAnswer(confirmed)), true, ""},
	"bytes after the answer":        {once(platformtest.ScriptedAnswer(confirmed) + "more"), true, ""},
	"another answer after it":       {once(platformtest.ScriptedAnswer(confirmed) + foreignAnswer), true, ""},
	"a second answer":               {once(platformtest.ScriptedAnswer(confirmed) + platformtest.ScriptedAnswer(confirmed)), true, ""},
	"a second answer, late":         {platformtest.Script{Answer: []platformtest.ScriptStep{{Send: platformtest.ScriptedAnswer(confirmed)}, {Wait: time.Second, Send: platformtest.ScriptedAnswer(confirmed)}}}, true, ""},
	"an answer before the request":  {platformtest.Script{Early: []platformtest.ScriptStep{{Send: foreignAnswer}}, Answer: []platformtest.ScriptStep{{Send: platformtest.ScriptedAnswer(confirmed)}}}, true, ""},
	"bytes before the request":      {platformtest.Script{Early: []platformtest.ScriptStep{{Send: "hello\r\n"}}, Answer: []platformtest.ScriptStep{{Send: platformtest.ScriptedAnswer(confirmed)}}}, false, ""},
	"only an answer to no request":  {platformtest.Script{Early: []platformtest.ScriptStep{{Send: foreignAnswer}}, Close: true}, false, ""},
	"two lengths, the first longer": {once(platformtest.ScriptedHead + "Content-Length: 20\r\nContent-Length: 9\r\n\r\n" + confirmed), false, ""},
	"two lengths, the last longer":  {once(platformtest.ScriptedHead + "Content-Length: 9\r\nContent-Length: 20\r\n\r\n" + confirmed), false, ""},
	"length and chunked":            {once(platformtest.ScriptedHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n" + confirmed + "\r\n0\r\n\r\n"), false, ""},
	"chunked and length":            {once(platformtest.ScriptedHead + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n9\r\n" + confirmed + "\r\n0\r\n\r\n"), false, ""},
	"the same after a 100":          {once("HTTP/1.1 100 Continue\r\n\r\n" + platformtest.ScriptedHead + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n9\r\n" + confirmed + "\r\n0\r\n\r\n"), false, ""},
	"length too long":               {once(platformtest.ScriptedHead + "Content-Length: 10\r\n\r\n" + confirmed), false, ""},
	"length too short":              {once(platformtest.ScriptedHead + "Content-Length: 4\r\n\r\n" + confirmed), true, "conf"},
	"malformed length":              {once(platformtest.ScriptedHead + "Content-Length: 9x\r\n\r\n" + confirmed), false, ""},
	"negative length":               {once(platformtest.ScriptedHead + "Content-Length: -9\r\n\r\n" + confirmed), false, ""},
	"malformed chunk size":          {once(platformtest.ScriptedHead + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n" + confirmed + "\r\n0\r\n\r\n"), false, ""},
	"head without end":              {endlessly("HTTP/1.1 200 OK\r\nX-Slow: ", "x"), false, ""},
	"headers without end":           {endlessly(platformtest.ScriptedHead, "X-More: y\r\n"), false, ""},
	"body byte by byte":             {endlessly(platformtest.ScriptedHead+"Content-Length: 100000\r\n\r\n", "x"), false, ""},
	"body without length":           {endlessly(platformtest.ScriptedHead+"\r\n", "x"), false, ""},
	"chunks without end":            {endlessly(platformtest.ScriptedHead+"Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"), false, ""},
	"chunk size without end":        {endlessly(platformtest.ScriptedHead+"Transfer-Encoding: chunked\r\n\r\n", "0"), false, ""},
	"trailer without end":           {endlessly(platformtest.ScriptedHead+"Transfer-Encoding: chunked\r\n\r\n9\r\n"+confirmed+"\r\n0\r\n", "X-Trailer: y\r\n"), false, ""},
	"trailer line without end":      {endlessly(platformtest.ScriptedHead+"Transfer-Encoding: chunked\r\n\r\n9\r\n"+confirmed+"\r\n0\r\nX-Trailer: ", "y"), false, ""},
	"interim answers without end":   {endlessly("", "HTTP/1.1 103 Early Hints\r\n\r\n"), false, ""},
	"silence":                       {once(""), false, ""},
	"silence after the head":        {once(platformtest.ScriptedHead + "Content-Length: 9\r\n\r\n"), false, ""},
	"end without an answer":         {platformtest.Script{Close: true}, false, ""},
}

// Guards against what an endpoint that breaks the protocol can do to callers: an answer that is
// not theirs or not whole, a promise that their request did not run, a wait beyond their time, and
// a connection that goes on to carry requests of others.
func TestScriptedAnswerHarmsNoCaller(t *testing.T) {
	for name, c := range scriptedCases {
		for kind, path := range map[string]string{"at most once": bookPath, "idempotent": statusPath} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				withInstallation(t, func(i *installation) {
					scripted := i.startScriptedService()
					scripted.SetScript(c.script)
					call := i.call(0, path)
					response := i.do(call)
					own := response.AttemptID == call.AttemptID && response.Complete && (response.Body == cmp.Or(c.body, confirmed) || response.Body == "done by "+call.AttemptID)
					switch runs := scripted.Runs(call.AttemptID); {
					case runs > 1 && path == bookPath:
						t.Errorf("the request ran %d times", runs)
					case response.Status < fasthttp.StatusMultipleChoices && !own:
						t.Errorf("status %d with body %q of attempt %q", response.Status, response.Body, response.AttemptID)
					case response.Status < fasthttp.StatusMultipleChoices && response.Body == confirmed && !c.served:
						t.Errorf("the caller got an answer that is not valid")
					case runs > 0 && promisesNotRun(response.Status):
						t.Errorf("status %d, but the request ran", response.Status)
					}
					if limit := call.Timeout + 500*time.Millisecond; response.Duration > limit {
						t.Errorf("the caller waited for %s, want at most %s", response.Duration, limit)
					}
					// An endpoint that failed is used again after a while.
					time.Sleep(1500 * time.Millisecond)
					for range 6 {
						next := i.call(0, path)
						if got := i.do(next); got.Status < fasthttp.StatusMultipleChoices && (got.AttemptID != next.AttemptID || got.Body != "done by "+next.AttemptID) {
							t.Errorf("the next caller got %q of attempt %q, want its own answer", got.Body, got.AttemptID)
						}
						time.Sleep(time.Second)
					}
					last := i.call(0, path)
					if got := i.do(last); got.Status != fasthttp.StatusOK || !strings.HasSuffix(got.Body, last.AttemptID) {
						t.Errorf("a caller long after got status %d and %q", got.Status, got.Body)
					}
					if reused := scripted.Reused(); reused > 0 {
						t.Errorf("%d more requests were sent on the connection", reused)
					}
				})
			})
		}
	}
}
