package transport

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// Guards against malformed numbers that count as 0: the sender of a malformed slice received
// the whole chunk.
func TestMalformedChunkRequestIsRejected(t *testing.T) {
	asked := 0
	served := (&Transport{Serve: func(context.Context, p2p.Request) (p2p.Response, error) {
		asked++
		return p2p.Response{Data: []byte("chunk"), Total: 5, Release: func() {}}, nil
	}}).Init()
	app := fiber.New()
	served.RegisterRoutes(app)
	valid := "/chunks/" + weights.Sum([]byte("chunk")).String()
	cases := map[string]int{
		"":                                 http.StatusOK,
		"?offset=1&length=2&hold=20ms":     http.StatusOK,
		"?takeOver=false&rescue=&spare=no": http.StatusBadRequest,
		"?offset=1x":                       http.StatusBadRequest,
		"?offset=-1":                       http.StatusBadRequest,
		"?length=99999999999999999999":     http.StatusBadRequest,
		"?length=-1":                       http.StatusBadRequest,
		"?hold=5":                          http.StatusBadRequest,
		"?hold=-1s":                        http.StatusBadRequest,
		"?takeOver=1":                      http.StatusBadRequest,
	}
	for query, want := range cases {
		asked = 0
		response, err := app.Test(httptest.NewRequest(http.MethodGet, valid+query, nil))
		if err != nil {
			t.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			t.Error(err)
		}
		if response.StatusCode != want || (asked > 0) != (want == http.StatusOK) {
			t.Errorf("%q: status %d, asked %d times for the chunk; want status %d", query, response.StatusCode, asked, want)
		}
	}
}
