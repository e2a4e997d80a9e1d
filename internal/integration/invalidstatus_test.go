package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Guards against an answer of an endpoint in trouble whose status is none, such as 000, and that
// reaches the caller as an answer: the HTTP library takes 000 for 200.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for name, form := range answerForms {
		t.Run(name, func(t *testing.T) {
			withInstallation(t, func(i *installation) {
				for _, status := range []string{"000", "001", "099", "101", "103", "199", "600", "999", "0", "20", "0200", "2000", "1000", "+20", "2x0", "ok"} {
					for _, before := range []string{"", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
						i.setFaults(form.service, platformtest.EndpointFaults{RawResponse: func(attempt, signature string) string {
							return before + strings.Replace(fmt.Sprintf(form.answer, attempt, signature), "200 OK", status+" X", 1)
						}})
						response, err := platformtest.Do(i.network.ForProcess("caller").Dial, form.call(i))
						if err != nil || response.Status != fasthttp.StatusBadGateway || response.Signature != "" {
							t.Errorf("%q, status %s: status %d with signature %q and body %q, error %v, want 502 without one",
								before, status, response.Status, response.Signature, response.Body, err)
						}
						// Endpoints that failed are used again after a while.
						time.Sleep(5 * time.Second)
					}
				}
				i.setFaults(form.service, platformtest.EndpointFaults{})
				if response := i.do(form.call(i)); response.Status != fasthttp.StatusOK {
					t.Errorf("status %d of a sound answer afterwards, want 200", response.Status)
				}
			})
		})
	}
}
