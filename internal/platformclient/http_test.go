package platformclient_test

import (
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/platformclient"
)

// Guards against bytes of a server in trouble that are no response, and that are taken for the
// state of the object API or for the instance list.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for name, response := range fakes.InvalidResponses("{}") {
		group := concurrency.NewGroup(t.Context())
		server := &fakes.RawServer{Group: group, Response: response, Close: true}
		status, _, err := platformclient.NewRoundTripFunc(server.Dial)(t.Context(), fasthttp.MethodGet, "http://store/", nil)
		if err == nil || server.Requests() != 1 {
			t.Errorf("%s: status %d, sent %d times, error %v, want once and an error", name, status, server.Requests(), err)
		}
		group.Wait()
	}
}
