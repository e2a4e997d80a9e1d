// Package entry implements the process that callers connect to. It routes
// requests to agents, retries requests that did not run, resumes streams, and
// ensures that a non-idempotent call runs at most once.
package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/daemon"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/idempotency"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/retry"
	"github.com/mimosaward/mimosaward/internal/routing"
	"github.com/mimosaward/mimosaward/internal/settings"
	"github.com/mimosaward/mimosaward/internal/upstream"
)

// pruneInterval is the interval at which the router drops endpoints that are
// gone.
const pruneInterval = time.Minute

// Entry serves callers. Set the exported fields before Run.
type Entry struct {
	Settings settings.Entry
	Platform daemon.Platform
	Network  daemon.Network
	Log      *event.Logger
	// Pick overrides the router's choice among candidate endpoints; nil keeps it.
	Pick func(request routing.Request, candidates []membership.Instance, load func(name string) float64) membership.Instance

	base         *daemon.Base
	drain        *daemon.Drain
	router       *routing.Router
	budget       *retry.Budget
	streamClient *upstream.Client
	callClient   *upstream.Client
	// atMostOnceClient never reuses a connection.
	atMostOnceClient *upstream.Client
	claims           *idempotency.ClaimRouter
	peers            peerLoads
}

// Run serves until stop is done, then drains and returns.
func (e *Entry) Run(stop context.Context) error {
	if err := e.setUp(); err != nil {
		return err
	}
	err := e.base.RunProgram(stop, daemon.Program{
		AdminAddress: e.Settings.AdminAddress, Address: e.Settings.CallersAddress, App: e.newApp(),
		Tasks: []func(ctx context.Context){e.claims.Run, e.watchPeers, e.pruneEndpoints},
		Drain: e.shutDown,
	})
	for _, client := range []*upstream.Client{e.streamClient, e.callClient, e.atMostOnceClient} {
		client.Close()
	}
	return err
}

// pruneEndpoints deletes the router's state of endpoints that are gone, until
// ctx is done.
func (e *Entry) pruneEndpoints(ctx context.Context) {
	for concurrency.Sleep(ctx, pruneInterval) {
		e.router.Prune(e.base.Membership.View())
	}
}

// shutDown removes the entry from the list of addresses, serves callers that have
// the old list for as long as they may keep it, and then finishes the requests in
// flight. Other entries may return the old list until they poll this entry's load
// again. Each of the two phases takes at most half of DrainTimeout.
func (e *Entry) shutDown(ctx context.Context) {
	e.drain.MarkStopping()
	concurrency.Sleep(ctx, min(peerPollInterval+loadCallTimeout+e.Settings.AddressTTL, e.Settings.DrainTimeout/2))
	e.drain.Wait(ctx, e.Settings.DrainTimeout/2, e.Log)
	e.claims.Flush(ctx)
}

func (e *Entry) setUp() error {
	self := membership.Instance{
		Name: e.Settings.Instance.Name, Role: membership.EntryRole, Status: membership.Live,
		AvailabilityZone: e.Settings.Instance.AvailabilityZone, Region: e.Settings.Instance.Region,
		CallersAddress: e.Settings.CallersAddress, ControlAddress: e.Settings.ControlAddress,
	}
	base, err := daemon.New(self, e.Settings.Platform, e.Platform, e.Network, e.Log, nil)
	if err != nil {
		return err
	}
	e.base = base
	e.drain = &daemon.Drain{}
	e.base.Ready = func() bool { return !e.drain.Stopping() && base.Relay.FreshnessStatus() != freshness.Stale }
	e.base.Status = func() any { return entryStatus{InFlight: e.drain.InFlight(), Stopping: e.drain.Stopping()} }
	routingSettings := e.Settings.Routing
	e.router = &routing.Router{Self: self, SubsetSize: routingSettings.SubsetSize, Pick: e.Pick}
	e.budget = &retry.Budget{Percent: routingSettings.RetryPercent}
	e.streamClient = (&upstream.Client{Dial: e.Network.Dial, FirstByteTimeout: routingSettings.FirstTokenTimeout, IdleTimeout: routingSettings.TokenTimeout}).Init()
	e.callClient = (&upstream.Client{Dial: e.Network.Dial, FirstByteTimeout: routingSettings.CallTimeout, IdleTimeout: routingSettings.TokenTimeout}).Init()
	e.atMostOnceClient = (&upstream.Client{Dial: e.Network.Dial, FirstByteTimeout: routingSettings.CallTimeout, IdleTimeout: routingSettings.TokenTimeout, DisableKeepAlives: true}).Init()
	e.claims = &idempotency.ClaimRouter{Self: self, Instances: base.Membership, Control: base.Control, Writer: &idempotency.Writer{Objects: base.Objects}}
	if err := e.claims.Register(base.Server); err != nil {
		return errors.Wrap(err, "register claims")
	}
	return errors.Wrap(base.Server.Register("Entry", &service{entry: e}), "register entry service")
}

// entryStatus is the entry's part of the admin server's status page.
type entryStatus struct {
	InFlight int  `json:"inFlight"`
	Stopping bool `json:"stopping"`
}

func (e *Entry) newApp() *fiber.App {
	app := fiber.New(fiber.Config{Immutable: true})
	app.Get("/v1/addresses", e.handleAddresses)
	app.Get("/v1/models", e.handleModels)
	app.Post(chatPath, e.handleChat)
	app.All("/services/:pool/*", e.handleCall)
	return app
}
