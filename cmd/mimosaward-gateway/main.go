// Command mimosaward-gateway runs a gateway, which serves callers on the users'
// platform.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/gateway"
	"github.com/mimosaward/mimosaward/internal/sockets"
)

func main() {
	program := &cli.PlatformDaemonCommand{
		Name:        "mimosaward-gateway",
		Description: "Serves callers on the users' platform: selects an endpoint for each request and relays its response.",
		Run: func(ctx context.Context, env cli.Environment) error {
			process := &gateway.Gateway{
				Deployment: env.Deployment, Reload: env.Reload, Log: env.Log, Registry: env.Registry,
				Listen: sockets.NewListen(env.LogAcceptError), Dial: sockets.Dial, DialStore: sockets.DialStore, Disconnected: sockets.ClosedByPeer, Stale: sockets.Stale,
			}
			return process.Run(ctx)
		},
	}
	os.Exit(program.Main(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
