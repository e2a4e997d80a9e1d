// Package daemon provides what the entry and agent processes share: the
// relay, the control server, the admin server and the graceful stop.
package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/controlrpc"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/freshness"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/metrics"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/relay"
	"github.com/mimosaward/mimosaward/internal/settings"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
)

const (
	dialTimeout   = 2 * time.Second
	serverIdle    = 60 * time.Second
	maxBodyBytes  = 4 << 20
	readBufferLen = 16 << 10
)

// Base holds the shared parts of a process. New fills every field.
type Base struct {
	Self    membership.Instance
	Log     *event.Logger
	Meter   *metrics.Meter
	Network Network
	State   *desiredstate.Store
	Roster  *membership.Store
	Relay   *relay.Relay
	Objects *platformclient.ObjectAPI
	Control *controlrpc.Client
	Server  *controlrpc.Server
	// Ready tells whether the process takes new work.
	Ready func() bool
	// Status returns what the admin server's status page shows.
	Status func() any
}

// Platform is how a process reaches the platform's services.
type Platform struct {
	ObjectHTTP   platformclient.HTTPFunc
	InstanceHTTP platformclient.HTTPFunc
}

// NewPlatform returns the platform of a real process.
func NewPlatform(network Network) Platform {
	http := platformclient.NewHTTP(network.Dial)
	return Platform{ObjectHTTP: http, InstanceHTTP: http}
}

// New returns a base for the process self. Prefixes are the scopes that the
// process acts on; none means all.
func New(self membership.Instance, where settings.Platform, services Platform, network Network, log *event.Logger, prefixes []string) (*Base, error) {
	b := &Base{
		Self:    self,
		Log:     log,
		Meter:   metrics.New(),
		Network: network,
		State:   desiredstate.NewStore(),
		Roster:  membership.NewStore(),
		Objects: &platformclient.ObjectAPI{BaseURL: where.ObjectAPI, HTTP: services.ObjectHTTP},
		Server:  controlrpc.NewServer(),
		Ready:   func() bool { return true },
		Status:  func() any { return nil },
	}
	b.Control = &controlrpc.Client{Dial: func(_ context.Context, address string) (net.Conn, error) { return network.Dial(address) }}
	b.Relay = &relay.Relay{
		Self: self, State: b.State, Membership: b.Roster, Freshness: freshness.NewTracker(),
		Tickets:   &ticketstore.Store{Objects: b.Objects},
		Instances: &platformclient.InstanceList{BaseURL: where.InstanceList, HTTP: services.InstanceHTTP},
		Control:   b.Control, Log: log, Prefixes: prefixes,
	}
	return b, b.Relay.Register(b.Server)
}

// Run serves the control and admin addresses and runs the relay until ctx
// ends.
func (b *Base) Run(ctx context.Context, adminAddress string) error {
	controlListener, err := b.Network.Listen(b.Self.ControlAddress)
	if err != nil {
		return errors.Wrap(err, "listen on controlAddress")
	}
	group := concurrency.NewGroup(ctx)
	defer group.Wait()
	defer group.Stop()
	group.Go(func(ctx context.Context) { b.Server.Run(ctx, controlListener) })
	group.Go(b.Relay.Run)
	group.Every(freshnessInterval, b.watchFreshness())
	err = b.ServeHTTP(ctx, adminAddress, b.adminApp())
	b.Control.Close()
	return err
}

// freshnessInterval is how often a change of freshness is looked for.
const freshnessInterval = 250 * time.Millisecond

// watchFreshness logs when the process loses or regains freshness.
func (b *Base) watchFreshness() func(ctx context.Context) {
	last := freshness.Stale
	return func(context.Context) {
		now := b.Relay.FreshnessStatus()
		switch {
		case now == freshness.Stale && last != freshness.Stale:
			b.Log.Emit(event.FreshnessLost, event.Fields{})
		case now != freshness.Stale && last == freshness.Stale:
			b.Log.Emit(event.FreshnessRegained, event.Fields{"verdict": now.String()})
		}
		last = now
	}
}

// silentLogger drops the HTTP server's own lines: a connection that breaks is
// reported by the request that it carried.
type silentLogger struct{}

// Printf implements fasthttp.Logger.
func (silentLogger) Printf(string, ...any) {}

// ServeHTTP serves an app on an address until ctx ends, then closes it without
// waiting: the caller drains before it ends ctx.
func (b *Base) ServeHTTP(ctx context.Context, address string, app *fiber.App) error {
	listener, err := b.Network.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &fasthttp.Server{
		Handler: app.Handler(), IdleTimeout: serverIdle, MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize: readBufferLen, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: silentLogger{},
	}
	group := concurrency.NewGroup(ctx)
	group.Go(func(ctx context.Context) {
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(shutdown)
	})
	err = server.Serve(listener)
	group.Stop()
	group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve %s", address)
}
