// Command mimosaward-loader fetches weights and loads them into the engine on its
// instance.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/loader"
	"github.com/mimosaward/mimosaward/internal/sockets"
)

func main() {
	program := &cli.PlatformDaemonCommand{
		Name:        "mimosaward-loader",
		Description: "Fetches weights and loads them into the engine on its instance.",
		Run: func(ctx context.Context, env cli.Environment) error {
			process := &loader.Loader{
				Deployment: env.Deployment, Log: env.Log, Registry: env.Registry,
				Listen: sockets.NewListen(env.LogAcceptError), Dial: sockets.DialFailFast, DialControl: sockets.Dial,
			}
			return process.Run(ctx)
		},
	}
	os.Exit(program.Main(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
