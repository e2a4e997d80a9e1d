package integration

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/loader"
)

// Guards against a loader that goes on without a component that panicked, for example without
// its requests to gateways: it exits with an error and can be replaced.
func TestLoaderExitsAfterComponentPanicked(t *testing.T) {
	withInstallation(t, func(i *installation) {
		name := "loader-" + engineName(0, 0)
		i.stopProcess(name)
		network := i.network.ForProcess(name)
		d := i.deployment(name, engineHost(0, 0), 0)
		d.Endpoint = deployment.Endpoint{Address: engineHost(0, 0) + ":90", Service: "drafts"}
		l := &loader.Loader{
			Deployment: d, Log: i.logger(name), Registry: prometheus.NewRegistry(), Listen: network.Listen, Dial: network.Dial,
			DialControl: func(context.Context, string) (net.Conn, error) { panic("broken") },
		}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		result := make(chan error, 1)
		i.fakeGroup.Go(func(context.Context) {
			result <- l.Run(ctx)
			i.network.CloseConnections(name)
		})
		select {
		case err := <-result:
			if err == nil || !strings.Contains(err.Error(), "broken") {
				t.Errorf("the loader exited with the error %v, want that of the component", err)
			}
		case <-time.After(startupTime):
			t.Errorf("the loader still runs %s after a component panicked", startupTime)
		}
	})
}
