// Package agent implements the process that runs beside each endpoint. It
// admits requests, checks responses, fetches weights and orders the engine to
// load them. It is the only client of the endpoint.
package agent

import (
	"context"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/daemon"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/p2p"
	"github.com/mimosaward/mimosaward/internal/platformclient"
	"github.com/mimosaward/mimosaward/internal/settings"
	"github.com/mimosaward/mimosaward/internal/transport"
	"github.com/mimosaward/mimosaward/internal/upstream"
	"github.com/mimosaward/mimosaward/internal/weights"
)

const (
	endpointFirstByteTimeout = 30 * time.Second
	endpointIdleTimeout      = 10 * time.Second
	originTimeout            = 60 * time.Second
	peerTimeout              = 3 * time.Second
)

// Agent is the process of one endpoint. Set the exported fields before Run.
type Agent struct {
	Settings settings.Agent
	Platform daemon.Platform
	Network  daemon.Network
	Log      *event.Logger

	base     *daemon.Base
	gate     *admission.Gate
	drain    *daemon.Drain
	served   *servedSet
	store    *weights.Store
	fetcher  *p2p.Fetcher
	endpoint *upstream.Client
	// loads sends orders to load, whose response takes longer than any other.
	loads     *upstream.Client
	transport *transport.Transport
	origin    platformclient.RoundTripFunc
}

// Run serves until stop is done, then drains and returns.
func (a *Agent) Run(stop context.Context) error {
	if err := a.setUp(); err != nil {
		return err
	}
	program := daemon.Program{
		AdminAddress: a.Settings.AdminAddress, Address: a.Settings.WorkAddress, App: a.newApp(),
		Drain: func(ctx context.Context) { a.drain.Wait(ctx, a.Settings.DrainTimeout, a.Log) },
	}
	if a.servesModel() {
		program.Tasks = append(program.Tasks, a.runRollouts, a.watchEngine)
	}
	err := a.base.RunProgram(stop, program)
	a.closeEndpointClients()
	a.transport.Close()
	return err
}

func (a *Agent) setUp() error {
	self := membership.Instance{
		Name: a.Settings.Instance.Name, Role: membership.AgentRole, Status: membership.Live,
		AvailabilityZone: a.Settings.Instance.AvailabilityZone, Region: a.Settings.Instance.Region,
		Pool: a.Settings.Endpoint.Pool, WorkAddress: a.Settings.WorkAddress, ControlAddress: a.Settings.ControlAddress,
	}
	prefixes := []string{"zone/" + self.AvailabilityZone, "pool/" + self.Pool, "endpoint/" + self.Name, "workspace/"}
	base, err := daemon.New(self, a.Settings.Platform, a.Platform, a.Network, a.Log, prefixes)
	if err != nil {
		return err
	}
	a.base = base
	a.drain = &daemon.Drain{}
	a.served = &servedSet{}
	a.base.Ready = a.ready
	a.base.Status = func() any { return a.status() }
	a.gate = &admission.Gate{
		WarmLimit: a.Settings.Endpoint.WarmLimit, ColdLimit: a.Settings.Endpoint.ColdLimit, ColdLatency: a.Settings.Endpoint.ColdLatency,
		OnCold: func() { a.Log.Emit(event.EndpointCold, event.Fields{}) },
	}
	a.newEndpointClients()
	a.origin = platformclient.NewRoundTripFunc(a.Network.Dial)
	a.transport = (&transport.Transport{
		Dial: a.Network.Dial, Timeout: peerTimeout, LinkRate: float64(a.Settings.Weights.LinkRate),
		Serve: func(ctx context.Context, request p2p.Request) (p2p.Response, error) {
			return a.fetcher.Serve(ctx, request)
		},
		OnChunkReceived: func() { a.base.Metrics.IncChunksReceived("peer") },
	}).Init()
	a.store = weights.NewStore(a.Settings.Weights.ChunkMemory)
	a.fetcher = &p2p.Fetcher{
		Self: self, HomeRegion: a.Settings.Weights.HomeRegion, FanOut: a.Settings.Weights.FanOut, Store: a.store, Log: a.Log,
		ThinLinkDelay: a.Settings.Weights.ThinLinkDelay, FetchPeer: a.transport.FetchPeer, FetchOrigin: a.fetchChunkFromOrigin,
	}
	return errors.Wrap(a.base.Server.Register("Agent", &service{agent: a}), "register agent service")
}

func (a *Agent) newEndpointClients() {
	a.endpoint = (&upstream.Client{Dial: a.Network.Dial, FirstByteTimeout: endpointFirstByteTimeout, IdleTimeout: endpointIdleTimeout, DisableKeepAlives: !a.servesModel()}).Init()
	a.loads = (&upstream.Client{Dial: a.Network.Dial, FirstByteTimeout: loadTimeout, IdleTimeout: endpointIdleTimeout}).Init()
}

func (a *Agent) closeEndpointClients() {
	a.endpoint.Close()
	a.loads.Close()
}

func (a *Agent) servesModel() bool { return a.Settings.Endpoint.Kind == "model" }

func (a *Agent) ready() bool {
	_, refusal := a.checkAcceptingRequests()
	return refusal == nil
}

func (a *Agent) endpointURL(path string) (string, error) {
	endpointURL, err := url.JoinPath(a.Settings.Endpoint.URL, path)
	return endpointURL, errors.Wrapf(err, "endpoint path %q", path)
}
