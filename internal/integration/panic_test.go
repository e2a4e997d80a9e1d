package integration

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/gateway"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// startFragileGateway starts one more gateway, whose background tasks panic in their calls to
// other processes once broken is set. The result of Run is sent to the channel.
func (i *installation) startFragileGateway(broken *atomic.Bool) (address string, result <-chan error) {
	const name, ip = "fragile", "10.0.1.9"
	d := i.deployment(name, ip, 0)
	d.Listen = deployment.Listen{Clients: ip + ":8005", Readiness: ip + ":8002", Directory: ip + ":8009", Control: ip + ":8000"}
	network := i.network.ForProcess(name)
	g := &gateway.Gateway{
		Deployment: d, Log: i.logger(name), Registry: prometheus.NewRegistry(), Listen: network.Listen, DialStore: network.Dial,
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			if broken.Load() && strings.HasSuffix(address, ":8000") {
				panic("broken")
			}
			return network.Dial(address)
		},
		Disconnected: fakes.PeerClosed, Stale: fakes.PeerClosed,
	}
	results := make(chan error, 1)
	i.fakeGroup.Go(func(context.Context) {
		results <- g.Run(context.Background())
		i.network.CloseConnections(name)
	})
	return ip + ":8005", results
}

// Guards against a gateway that goes on without a component that panicked: it serves what it
// has accepted, exits with an error and can be replaced.
func TestGatewayDrainsAfterComponentPanicked(t *testing.T) {
	withInstallation(t, func(i *installation) {
		var broken atomic.Bool
		address, result := i.startFragileGateway(&broken)
		time.Sleep(startupTime)
		callers := concurrency.NewGroup(context.Background())
		var response platformtest.Response
		callers.Go(func(context.Context) {
			call := i.chatCall(0)
			call.Gateway, call.OutputTokens = address, 200
			response = i.do(call)
		})
		time.Sleep(100 * time.Millisecond)
		broken.Store(true)
		// The gateway dials its peers again.
		for _, zone := range []int{1, 2} {
			i.network.Disconnect("fragile", gatewayName(zone))
			i.network.Reconnect("fragile", gatewayName(zone))
		}
		callers.Wait()
		if !response.Complete {
			t.Errorf("the request in flight got %+v, want a complete response", response)
		}
		select {
		case err := <-result:
			if err == nil || !strings.Contains(err.Error(), "broken") {
				t.Errorf("the gateway exited with the error %v, want that of the component", err)
			}
		case <-time.After(bounds.GracePeriod):
			t.Fatalf("the gateway still runs %s after a component panicked", bounds.GracePeriod)
		}
	})
}
