// Command mimosaward-gateway serves callers on the users' platform.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/gateway"
	"github.com/mimosaward/mimosaward/internal/sockets"
)

func main() {
	program := &cli.Hosted{
		Name:        "mimosaward-gateway",
		Description: "Serves callers on the users' platform: finds the endpoint for each request and relays its answer.",
		Run: func(ctx context.Context, host cli.Host) error {
			running := &gateway.Gateway{
				Deployment: host.Deployment, Reload: host.Reload, Log: host.Log, Registry: host.Registry,
				Listen: sockets.Listen, Dial: sockets.Dial, DialStore: sockets.DialFailFast, Left: sockets.ClosedByPeer, Stale: sockets.Stale,
			}
			return running.Run(ctx)
		},
	}
	os.Exit(program.Main(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
