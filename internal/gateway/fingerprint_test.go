package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/mimosaward/mimosaward/internal/clientrequest"
)

// Requests that differ in anything that an endpoint acts on must have different fingerprints, and
// those that differ only in what is new in each attempt must have the same one.
func TestFingerprint(t *testing.T) {
	base := clientrequest.Request{
		ID: "a", Method: "POST", Host: "aso.example", Target: "/draft/new?x=1", APIKey: "key", Inference: clientrequest.Inference{Prompt: "aa:10,bb:20"},
	}
	body := "body"
	want := fingerprint(&base, []byte(body))
	again := base
	again.ID, again.Timeout, again.LastEventID = "b", 5, "12"
	if got := fingerprint(&again, []byte(body)); got != want {
		t.Errorf("fingerprint of the next attempt is %s, want %s", got, want)
	}
	if len(want) > 64 || !strings.Contains(want, ":") {
		t.Errorf("fingerprint %s, want one that is as short as the IDs of parts and cannot be one", want)
	}
	for name, change := range map[string]func(request *clientrequest.Request, body *string){
		"method":           func(request *clientrequest.Request, _ *string) { request.Method = "PUT" },
		"host":             func(request *clientrequest.Request, _ *string) { request.Host = "other.example" },
		"query":            func(request *clientrequest.Request, _ *string) { request.Target = "/draft/new?x=2" },
		"caller":           func(request *clientrequest.Request, _ *string) { request.APIKey = "other" },
		"part":             func(request *clientrequest.Request, _ *string) { request.Inference.Prompt = "aa:10,cc:20" },
		"length of a part": func(request *clientrequest.Request, _ *string) { request.Inference.Prompt = "aa:10,bb:21" },
		"body":             func(_ *clientrequest.Request, body *string) { *body = "other" },
		"border of two parts": func(request *clientrequest.Request, _ *string) {
			request.Host, request.Target = "aso.example/", "draft/new?x=1"
		},
	} {
		changed, changedBody := base, body
		change(&changed, &changedBody)
		if fingerprint(&changed, []byte(changedBody)) == want {
			t.Errorf("%s: another request has the same fingerprint", name)
		}
	}
}

func BenchmarkFingerprint(b *testing.B) {
	request := clientrequest.Request{
		Method: "POST", Host: "cubo38.example", Target: "/levo940/3a/32b4", APIKey: "2benzz97pzwnqe979jm5",
		Inference: clientrequest.Inference{Prompt: "69121c554e31:40,7e1f6b90820e:3880"},
	}
	for _, size := range []int{0, 2 << 10, 64 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(size))
			for b.Loop() {
				fingerprint(&request, body)
			}
		})
	}
}
