// Command mimosaward-gateway serves callers on the users' platform.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/command"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/gateway"
	"github.com/mimosaward/mimosaward/internal/sockets"
)

func main() {
	program := &command.Hosted{
		Run: func(ctx context.Context, where deployment.Deployment, log *event.Logger) error {
			running := &gateway.Gateway{
				Deployment: where, Log: log, Listen: sockets.Listen, Dial: sockets.Dial, DialStore: sockets.DialSoon,
				Left: sockets.Left, Stale: sockets.Stale,
			}
			return running.Run(ctx)
		},
	}
	os.Exit(program.Main(command.Streams{Out: os.Stdout, Err: os.Stderr}))
}
