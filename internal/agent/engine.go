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
func (a *Agent) orderLoad(ctx context.Context, goal wanted, verified *weights.VerifiedSet) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	joined, err := buffer(verified)
	if err != nil {
		return err
	}
	address, err := a.endpointURL("/weights")
	if err != nil {
		return err
	}
	response, err := a.endpoint.Do(upstream.Request{
		Method: fiber.MethodPut, Body: joined.Bytes(),
		URL: fmt.Sprintf("%s?set=%s&fence=%d", address, goal.set, goal.number),
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
	served, _, open := a.serving.current()
	if !open {
		return
	}
	report, err := a.readStatus()
	if err != nil {
		return
	}
	if report.Cold {
		a.gate.ReportCold()
	}
	if report.Set != served.String() {
		a.gate.ResetToCold()
		a.serving.lose(served)
	}
}

func (a *Agent) readStatus() (engineStatus, error) {
	address, err := a.endpointURL("/status")
	if err != nil {
		return engineStatus{}, err
	}
	response, err := a.endpoint.Do(upstream.Request{Method: fiber.MethodGet, URL: address})
	if err != nil {
		return engineStatus{}, err
	}
	defer response.Close()
	body, err := response.ReadBody()
	if err != nil {
		return engineStatus{}, err
	}
	var report engineStatus
	return report, json.Unmarshal(body, &report)
}
