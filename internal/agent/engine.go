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

// statusInterval is the interval at which the agent polls the engine's status.
const statusInterval = 500 * time.Millisecond

// engineStatus is the status that the engine reports, with a delay.
type engineStatus struct {
	Set  string `json:"set"`
	Cold bool   `json:"cold"`
}

// sendLoadOrder sends the complete verified set to the engine and returns when
// the engine serves it.
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
	response, err := a.loads.Do(upstream.Request{
		Method: fiber.MethodPut, Body: body.Bytes(),
		URL: fmt.Sprintf("%s?set=%s&fence=%d", url, target.set, target.ticketNumber),
	})
	if err != nil {
		return errors.Wrap(err, "send load order")
	}
	defer response.Close()
	if response.Status() != fiber.StatusOK {
		return errors.Newf("engine responded to the load order with status %d", response.Status())
	}
	return nil
}

// watchEngine polls the engine's status until ctx is done.
func (a *Agent) watchEngine(ctx context.Context) {
	for concurrency.Sleep(ctx, statusInterval) {
		a.pollEngine()
	}
}

// pollEngine reads the engine's status. If the engine reports that it is cold,
// the admission gate lowers its limit without waiting for slow responses; if
// the engine has lost its weights, they are loaded again.
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
	body, err := response.ReadBody()
	if err != nil {
		return engineStatus{}, err
	}
	var status engineStatus
	return status, json.Unmarshal(body, &status)
}
