package integration

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/gateway"
)

// failingListener fails once it is closed, as one whose socket became unusable.
type failingListener struct{ net.Listener }

func (l failingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp4", Err: syscall.EINVAL}
	}
	return conn, nil
}

// Guards against a process that ends at once, with the requests of all callers, because one
// of its servers fails.
func TestFailureOfOneServerCutsNoRequest(t *testing.T) {
	withInstallation(t, func(i *installation) {
		name := gatewayName(0)
		i.stopProcess(name)
		network := i.network.ForProcess(name)
		d := i.deployment(name, gatewayHost(0), 0)
		d.Listen = deployment.Listen{Clients: gatewayAddress(0), Readiness: gatewayHost(0) + ":8002", Directory: gatewayHost(0) + ":8009", Control: gatewayHost(0) + ":8000"}
		directories := make(chan net.Listener, 1)
		g := &gateway.Gateway{
			Deployment: d, Log: i.logger(name), Registry: prometheus.NewRegistry(), Dial: withContext(network.Dial), DialStore: network.Dial,
			Disconnected: fakes.PeerClosed, Stale: fakes.PeerClosed,
			Listen: func(address string) (net.Listener, error) {
				listener, err := network.Listen(address)
				if strings.HasSuffix(address, ":8009") {
					directories <- failingListener{listener}
					return failingListener{listener}, err
				}
				return listener, err
			},
		}
		i.startProcess(name, func(ctx context.Context) error {
			if err := g.Run(ctx); !errors.Is(err, syscall.EINVAL) {
				t.Errorf("the gateway ended with %v, want the error of its server", err)
			}
			return nil
		})
		time.Sleep(startupTime)
		callers := concurrency.NewGroup(context.Background())
		callers.Go(func(context.Context) {
			call := i.chatCall(0)
			call.OutputTokens = 150
			if response := i.do(call); response.Status != 200 || !response.Complete {
				t.Errorf("response %+v, want a complete one", response)
			}
		})
		time.Sleep(200 * time.Millisecond)
		if err := (<-directories).Close(); err != nil {
			t.Error(err)
		}
		callers.Wait()
	})
}
