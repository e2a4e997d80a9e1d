package transport

import (
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// parseChunkRequest returns the request of another instance. Parameters that are absent are
// zero.
func parseChunkRequest(c fiber.Ctx) (p2p.Request, error) {
	digest, err := weights.ParseDigest(c.Params("digest"))
	if err != nil {
		return p2p.Request{}, err
	}
	request := p2p.Request{Chunk: digest}
	for name, value := range map[string]*int{"offset": &request.Offset, "length": &request.Length} {
		if text := c.Query(name); text != "" {
			if *value, err = strconv.Atoi(text); err != nil || *value < 0 {
				return p2p.Request{}, errors.Newf("%s is not a number of bytes: %q", name, text)
			}
		}
	}
	if text := c.Query("hold"); text != "" {
		if request.MaxWait, err = time.ParseDuration(text); err != nil || request.MaxWait < 0 {
			return p2p.Request{}, errors.Newf("hold is not a duration: %q", text)
		}
	}
	request.MaxWait = min(request.MaxWait, maxRequestWait)
	for name, value := range map[string]*bool{"takeOver": &request.FetchAsRoot, "rescue": &request.FetchAsOwner, "spare": &request.BestEffort} {
		switch text := c.Query(name); text {
		case "", "false":
		case "true":
			*value = true
		default:
			return p2p.Request{}, errors.Newf("%s is neither true nor false: %q", name, text)
		}
	}
	return request, nil
}
