// Command mimosaward-loader brings weights to the engine on its instance.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/loader"
	"github.com/mimosaward/mimosaward/internal/sockets"
)

func main() {
	program := &cli.Hosted{
		Name:        "mimosaward-loader",
		Description: "Brings weights to the engine on its instance.",
		Run: func(ctx context.Context, host cli.Host) error {
			running := &loader.Loader{
				Deployment: host.Deployment, Log: host.Log, Registry: host.Registry,
				Listen: sockets.Listen, Dial: sockets.DialFailFast, DialControl: sockets.Dial,
			}
			return running.Run(ctx)
		},
	}
	os.Exit(program.Main(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
