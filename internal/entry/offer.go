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
	minPause = 30 * time.Millisecond
	maxPause = 90 * time.Millisecond
)

// offer is a request on its way to some endpoint of a pool.
type offer struct {
	request *request
	pool    string
	prefix  string
	// client makes the exchange.
	client *upstream.Client
	// repeatable is true if the request may run more than once.
	repeatable bool
	// wait is how long to look for an endpoint that takes the request.
	wait time.Duration
}

// taken is an exchange with the endpoint that took the offer. The caller must
// call close.
type taken struct {
	endpoint membership.Instance
	response *upstream.Response
	router   *routing.Router
}

func (t *taken) close() {
	t.response.Close()
	t.router.End(t.endpoint.Name)
}

// place offers the request to one endpoint after the other until one takes it.
// An endpoint whose agent refused it has certainly not run it; after any other
// failure only a repeatable request is offered again, within the retry budget.
func (o *offer) place(message upstream.Request, path string) (*taken, refusal) {
	entry := o.request.entry
	deadline := time.Now().Add(o.wait)
	last := notRun("no endpoint takes work now")
	var tried []string
	for attempts := 0; ; {
		// Each try sees the newest list, so that a zone taken out meanwhile is
		// not offered anything.
		choice := routing.Request{Pool: o.pool, PrefixKey: o.prefix, Tried: tried}
		endpoint, found := entry.router.Choose(choice, entry.base.Roster.View(), entry.base.State.Snapshot())
		if !found || attempts >= entry.Settings.Routing.Attempts {
			if time.Now().After(deadline) {
				return nil, last
			}
			time.Sleep(minPause + rand.N(maxPause-minPause))
			attempts, tried = 0, nil
			continue
		}
		attempts++
		tried = append(tried, endpoint.Name)
		message.URL = "http://" + endpoint.WorkAddress + path
		got, failure := o.exchange(endpoint, message)
		if got != nil {
			return got, refusal{}
		}
		last = failure
		if failure.outcome == outcome.Unknown && (!o.repeatable || !entry.budget.AllowRetry()) {
			return nil, failure
		}
	}
}

// exchange offers the request to one endpoint.
func (o *offer) exchange(endpoint membership.Instance, message upstream.Request) (*taken, refusal) {
	router := o.request.entry.router
	router.Begin(endpoint.Name)
	response, err := o.client.Do(message)
	if err != nil {
		router.End(endpoint.Name)
		router.PauseAfterFailure(endpoint.Name)
		if errors.Is(err, upstream.ErrNotConnected) {
			return nil, notRun("endpoint " + endpoint.Name + " cannot be reached")
		}
		return nil, unknown("endpoint " + endpoint.Name + " gave no answer")
	}
	got := &taken{endpoint: endpoint, response: response, router: router}
	if load, ok := agent.ParseLoad(response.Header(agent.LoadHeader)); ok {
		router.RecordLoad(endpoint.Name, load)
	}
	failure, refused := readRefusal(endpoint, response)
	if !refused {
		return got, refusal{}
	}
	got.close()
	if failure.outcome == outcome.NotRun {
		router.Pause(endpoint.Name, failure.retryAfter)
	}
	return nil, failure
}

// readRefusal returns what an agent said about a request that it did not
// answer whole.
func readRefusal(endpoint membership.Instance, response *upstream.Response) (refusal, bool) {
	what := outcome.Outcome(response.Header(outcome.Header))
	milliseconds, _ := strconv.Atoi(response.Header(agent.RetryHeader))
	pause := time.Duration(milliseconds) * time.Millisecond
	switch what {
	case outcome.NotRun:
		return refusal{fiber.StatusServiceUnavailable, outcome.NotRun, "endpoint " + endpoint.Name + " is busy or takes no work", pause}, true
	case outcome.Unknown:
		return unknown("endpoint " + endpoint.Name + " gave no whole answer"), true
	case outcome.Done:
		return refusal{}, false
	}
	if response.Status() != fiber.StatusOK {
		return unknown("endpoint " + endpoint.Name + " answered with status " + strconv.Itoa(response.Status())), true
	}
	return refusal{}, false
}
