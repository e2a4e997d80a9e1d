// Package daemon provides the parts that the entry and agent processes share:
// the relay, the control server, the admin server and the graceful shutdown.
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
	dialTimeout       = 2 * time.Second
	serverIdleTimeout = 60 * time.Second
	maxBodyBytes      = 4 << 20
	readBufferBytes   = 16 << 10
)

// Base holds the shared parts of a process. New sets every field; Ready and
// Status may be replaced.
type Base struct {
	Self       membership.Instance
	Log        *event.Logger
	Metrics    *metrics.Meter
	Network    Network
	State      *desiredstate.Store
	Membership *membership.Store
	Relay      *relay.Relay
	Objects    *platformclient.ObjectAPI
	Control    *controlrpc.Client
	Server     *controlrpc.Server
	// Ready reports whether the process accepts new requests.
	Ready func() bool
	// Status returns the details for the admin server's status page.
	Status func() any
}

// Platform holds the functions that call the platform's services.
type Platform struct {
	ObjectAPI    platformclient.RoundTripFunc
	InstanceList platformclient.RoundTripFunc
}

// NewPlatform returns a Platform that calls the services over HTTP on network.
func NewPlatform(network Network) Platform {
	http := platformclient.NewRoundTripFunc(network.Dial)
	return Platform{ObjectAPI: http, InstanceList: http}
}

// New returns a base for the process self. Prefixes are the scopes of the
// desired state that the process uses; none means all scopes.
func New(self membership.Instance, addresses settings.Platform, platform Platform, network Network, log *event.Logger, prefixes []string) (*Base, error) {
	b := &Base{
		Self:       self,
		Log:        log,
		Metrics:    metrics.New(),
		Network:    network,
		State:      desiredstate.NewStore(),
		Membership: membership.NewStore(),
		Objects:    &platformclient.ObjectAPI{BaseURL: addresses.ObjectAPI, HTTP: platform.ObjectAPI},
		Server:     controlrpc.NewServer(),
		Ready:      func() bool { return true },
		Status:     func() any { return nil },
	}
	b.Control = &controlrpc.Client{Dial: func(_ context.Context, address string) (net.Conn, error) { return network.Dial(address) }}
	b.Relay = &relay.Relay{
		Self: self, State: b.State, Membership: b.Membership, Freshness: freshness.NewTracker(),
		Tickets:   &ticketstore.Store{Objects: b.Objects},
		Instances: &platformclient.InstanceList{BaseURL: addresses.InstanceList, HTTP: platform.InstanceList},
		Control:   b.Control, Log: log, Prefixes: prefixes,
	}
	return b, b.Relay.Register(b.Server)
}

// Run serves the control and admin addresses and runs the relay until ctx is
// done.
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
	group.Every(freshnessPollInterval, b.watchFreshness())
	err = b.ServeHTTP(ctx, adminAddress, b.adminApp())
	b.Control.Close()
	return err
}

// freshnessPollInterval is the interval at which watchFreshness checks the
// freshness status.
const freshnessPollInterval = 250 * time.Millisecond

// watchFreshness returns a function that logs when the process has lost or
// regained freshness since the previous call.
func (b *Base) watchFreshness() func(ctx context.Context) {
	last := freshness.Stale
	return func(context.Context) {
		current := b.Relay.FreshnessStatus()
		switch {
		case current == freshness.Stale && last != freshness.Stale:
			b.Log.Emit(event.FreshnessLost, event.Fields{})
		case current != freshness.Stale && last == freshness.Stale:
			b.Log.Emit(event.FreshnessRestored, event.Fields{"verdict": current.String()})
		}
		last = current
	}
}

// discardLogger discards the HTTP server's log lines, since the failure of a
// connection is reported by the request that it carried.
type discardLogger struct{}

// Printf implements [fasthttp.Logger].
func (discardLogger) Printf(string, ...any) {}

// ServeHTTP serves app on address until ctx is done, then shuts the server down
// within a second. It does not wait for requests in flight: the caller drains
// them before it cancels ctx.
func (b *Base) ServeHTTP(ctx context.Context, address string, app *fiber.App) error {
	listener, err := b.Network.Listen(address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", address)
	}
	server := &fasthttp.Server{
		Handler: app.Handler(), IdleTimeout: serverIdleTimeout, MaxRequestBodySize: maxBodyBytes,
		ReadBufferSize: readBufferBytes, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: discardLogger{},
	}
	group := concurrency.NewGroup(ctx)
	group.Go(func(ctx context.Context) {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.ShutdownWithContext(shutdownCtx)
	})
	err = server.Serve(listener)
	group.Stop()
	group.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return errors.Wrapf(err, "serve %s", address)
}
