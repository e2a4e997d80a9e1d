// Package entry is the process that callers connect to: it routes requests to
// agents, retries what did not run, resumes streams, and lets a non-idempotent
// call run at most once.
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

// forgetInterval is how often the router drops endpoints that are gone.
const forgetInterval = time.Minute

// Entry serves callers. Set the exported fields before Run.
type Entry struct {
	Settings settings.Entry
	Services daemon.Platform
	Network  daemon.Network
	Log      *event.Logger
	// Pick replaces the choice among endpoints; nil means the router's own.
	Pick func(request routing.Request, candidates []membership.Instance, load func(name string) float64) membership.Instance

	base    *daemon.Base
	drain   *daemon.Drain
	router  *routing.Router
	budget  *retry.Budget
	streams *upstream.Client
	calls   *upstream.Client
	// onceOnly never reuses a connection.
	onceOnly *upstream.Client
	claims   *idempotency.ClaimRouter
	peers    peerLoads
}

// Run serves until stop ends, then drains and returns.
func (e *Entry) Run(stop context.Context) error {
	if err := e.prepare(); err != nil {
		return err
	}
	err := e.base.RunProgram(stop, daemon.Program{
		AdminAddress: e.Settings.AdminAddress, Address: e.Settings.CallersAddress, App: e.app(),
		Duties: []func(ctx context.Context){e.claims.Run, e.watchPeers, e.forgetEndpoints},
		Drain:  e.stop,
	})
	for _, client := range []*upstream.Client{e.streams, e.calls, e.onceOnly} {
		client.Close()
	}
	return err
}

// forgetEndpoints drops what the router knows about endpoints that are gone.
func (e *Entry) forgetEndpoints(ctx context.Context) {
	for concurrency.Sleep(ctx, forgetInterval) {
		e.router.Prune(e.base.Roster.View())
	}
}

// stop leaves the list of addresses, serves callers that still hold the old
// list for as long as they may keep it, then finishes what is in flight. Other
// entries may hand out the old list until they ask for this entry's load again.
func (e *Entry) stop(ctx context.Context) {
	e.drain.Announce()
	concurrency.Sleep(ctx, min(peerInterval+peerTimeout+e.Settings.AddressKeep, e.Settings.DrainTimeout/2))
	e.drain.Wait(ctx, e.Settings.DrainTimeout/2, e.Log)
	e.claims.Flush(ctx)
}

func (e *Entry) prepare() error {
	self := membership.Instance{
		Name: e.Settings.Instance.Name, Role: membership.EntryRole, Status: membership.Live,
		AvailabilityZone: e.Settings.Instance.AvailabilityZone, Region: e.Settings.Instance.Region,
		CallersAddress: e.Settings.CallersAddress, ControlAddress: e.Settings.ControlAddress,
	}
	base, err := daemon.New(self, e.Settings.Platform, e.Services, e.Network, e.Log, nil)
	if err != nil {
		return err
	}
	e.base = base
	e.drain = &daemon.Drain{}
	e.base.Ready = func() bool { return !e.drain.Stopping() && base.Relay.FreshnessStatus() != freshness.Stale }
	e.base.Status = func() any { return entryStatus{InFlight: e.drain.InFlight(), Stopping: e.drain.Stopping()} }
	limits := e.Settings.Routing
	e.router = &routing.Router{Self: self, SubsetSize: limits.SubsetSize, Pick: e.Pick}
	e.budget = &retry.Budget{Percent: limits.RetryPercent}
	e.streams = (&upstream.Client{Dial: e.Network.Dial, FirstByteTimeout: limits.FirstTokenTimeout, IdleTimeout: limits.TokenTimeout}).Open()
	e.calls = (&upstream.Client{Dial: e.Network.Dial, FirstByteTimeout: limits.CallTimeout, IdleTimeout: limits.TokenTimeout}).Open()
	e.onceOnly = (&upstream.Client{Dial: e.Network.Dial, FirstByteTimeout: limits.CallTimeout, IdleTimeout: limits.TokenTimeout, DisableKeepAlives: true}).Open()
	e.claims = &idempotency.ClaimRouter{Self: self, Instances: base.Roster, Control: base.Control, Writer: &idempotency.Writer{Objects: base.Objects}}
	if err := e.claims.Register(base.Server); err != nil {
		return errors.Wrap(err, "register claims")
	}
	return errors.Wrap(base.Server.Register("Entry", &service{entry: e}), "register entry service")
}

// entryStatus is what the admin server shows.
type entryStatus struct {
	InFlight int  `json:"inFlight"`
	Stopping bool `json:"stopping"`
}

func (e *Entry) app() *fiber.App {
	app := fiber.New(fiber.Config{Immutable: true})
	app.Get("/v1/addresses", e.addresses)
	app.Get("/v1/models", e.models)
	app.Post(chatPath, e.chat)
	app.All("/services/:pool/*", e.call)
	return app
}
