package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/internal/weights"
)

// statusInterval is how often the agent reads the engine's report.
const statusInterval = 500 * time.Millisecond

// engineStatus is the engine's report, which lags.
type engineStatus struct {
	Set  string `json:"set"`
	Cold bool   `json:"cold"`
}

// orderLoad sends the whole verified set and returns when the engine serves
// it.
func (a *Agent) sendLoadOrder(ctx context.Context, target rolloutTarget, verified *weights.VerifiedSet) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	body, err := joinParts(verified)
	if err != nil {
		return err
	}
	url, err := a.endpointURL("/weights")
	if err != nil {
		return err
	}
	response, err := a.endpoint.Do(upstream.Request{
		Method: fiber.MethodPut, Body: body.Bytes(),
		URL: fmt.Sprintf("%s?set=%s&fence=%d", url, target.set, target.ticketNumber),
	})
	if err != nil {
		return errors.Wrap(err, "order load")
	}
	defer response.Close()
	if response.Status() != fiber.StatusOK {
		return errors.Newf("engine answered the load order with status %d", response.Status())
	}
	return nil
}

// watchEngine reads the engine's report until ctx ends.
func (a *Agent) watchEngine(ctx context.Context) {
	for concurrency.Sleep(ctx, statusInterval) {
		a.pollEngine()
	}
}

// pollEngine reads the engine's report: a cold engine closes the gate early,
// and an engine that lost its weights is loaded again.
func (a *Agent) pollEngine() {
	served, _, accepting := a.served.current()
	if !accepting {
		return
	}
	status, err := a.readEngineStatus()
	if err != nil {
		return
	}
	if status.Cold {
		a.gate.ReportCold()
	}
	if status.Set != served.String() {
		a.gate.ResetToCold()
		a.served.markLost(served)
	}
}

func (a *Agent) readEngineStatus() (engineStatus, error) {
	url, err := a.endpointURL("/status")
	if err != nil {
		return engineStatus{}, err
	}
	response, err := a.endpoint.Do(upstream.Request{Method: fiber.MethodGet, URL: url})
	if err != nil {
		return engineStatus{}, err
	}
	defer response.Close()
	body, err := response.Body()
	if err != nil {
		return engineStatus{}, err
	}
	var status engineStatus
	return status, json.Unmarshal(body, &status)
}
