package entry

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/agent"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/routing"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

const (
	minRetryPause = 30 * time.Millisecond
	maxRetryPause = 90 * time.Millisecond
)

// forwarder forwards a request to an endpoint of a pool.
type forwarder struct {
	request *request
	pool    string
	prefix  string
	// client sends the request.
	client *upstream.Client
	// retryable is true if the request may run more than once.
	retryable bool
	// timeout is how long to search for an endpoint that accepts the request.
	timeout time.Duration
}

// exchange is a request that an endpoint accepted, with its response. The caller
// must call close.
type exchange struct {
	endpoint membership.Instance
	response *upstream.Response
	router   *routing.Router
}

func (e *exchange) close() {
	e.response.Close()
	e.router.End(e.endpoint.Name)
}

// forward sends the request to one endpoint after another until one accepts it.
// An endpoint whose agent refused the request as not run has certainly not run
// it. After a failure with an unknown outcome only a retryable request is sent
// again, within the retry budget.
func (f *forwarder) forward(upstreamRequest upstream.Request, path string) (*exchange, refusal) {
	entry := f.request.entry
	deadline := time.Now().Add(f.timeout)
	lastRefusal := notRun("no endpoint takes work now")
	var tried []string
	for attempts := 0; ; {
		// Each attempt uses the newest instance list and snapshot, so that a zone
		// that was taken out of service meanwhile receives no requests.
		routingRequest := routing.Request{Pool: f.pool, PrefixKey: f.prefix, Tried: tried}
		endpoint, ok := entry.router.Choose(routingRequest, entry.base.Membership.View(), entry.base.State.Snapshot())
		if !ok || attempts >= entry.Settings.Routing.MaxAttempts {
			if time.Now().After(deadline) {
				return nil, lastRefusal
			}
			time.Sleep(minRetryPause + rand.N(maxRetryPause-minRetryPause))
			attempts, tried = 0, nil
			continue
		}
		attempts++
		tried = append(tried, endpoint.Name)
		upstreamRequest.URL = "http://" + endpoint.WorkAddress + path
		accepted, failure := f.send(endpoint, upstreamRequest)
		if accepted != nil {
			return accepted, refusal{}
		}
		lastRefusal = failure
		if failure.outcome == outcome.Unknown && (!f.retryable || !entry.budget.AllowRetry()) {
			return nil, failure
		}
	}
}

// send sends the request to one endpoint.
func (f *forwarder) send(endpoint membership.Instance, upstreamRequest upstream.Request) (*exchange, refusal) {
	router := f.request.entry.router
	router.Begin(endpoint.Name)
	response, err := f.client.Do(upstreamRequest)
	if err != nil {
		router.End(endpoint.Name)
		router.PauseAfterFailure(endpoint.Name)
		if errors.Is(err, upstream.ErrNotConnected) {
			return nil, notRun("endpoint " + endpoint.Name + " cannot be reached")
		}
		return nil, unknownOutcome("endpoint " + endpoint.Name + " gave no answer")
	}
	accepted := &exchange{endpoint: endpoint, response: response, router: router}
	if load, ok := agent.ParseLoad(response.Header(agent.LoadHeader)); ok {
		router.RecordLoad(endpoint.Name, load)
	}
	failure, refused := readRefusal(endpoint, response)
	if !refused {
		return accepted, refusal{}
	}
	accepted.close()
	if failure.outcome == outcome.NotRun {
		router.Pause(endpoint.Name, failure.retryAfter)
	}
	return nil, failure
}

// readRefusal returns the refusal in an agent's response. It reports false if
// the response is not a refusal.
func readRefusal(endpoint membership.Instance, response *upstream.Response) (refusal, bool) {
	result := outcome.Outcome(response.Header(outcome.Header))
	milliseconds, _ := strconv.Atoi(response.Header(agent.RetryAfterHeader))
	retryAfter := time.Duration(milliseconds) * time.Millisecond
	switch result {
	case outcome.NotRun:
		return refusal{fiber.StatusServiceUnavailable, outcome.NotRun, "endpoint " + endpoint.Name + " is busy or takes no work", retryAfter}, true
	case outcome.Unknown:
		return unknownOutcome("endpoint " + endpoint.Name + " gave no whole answer"), true
	case outcome.Done:
		return refusal{}, false
	}
	if response.Status() != fiber.StatusOK {
		return unknownOutcome("endpoint " + endpoint.Name + " answered with status " + strconv.Itoa(response.Status())), true
	}
	return refusal{}, false
}
