// Command mimosaward-loader brings weights to the engine on its instance.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/command"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/loader"
	"github.com/mimosaward/mimosaward/internal/sockets"
)

func main() {
	program := &command.Hosted{
		Run: func(ctx context.Context, where deployment.Deployment, log *event.Logger) error {
			running := &loader.Loader{
				Deployment: where, Log: log, Listen: sockets.Listen, Dial: sockets.DialSoon, DialControl: sockets.Dial,
			}
			return running.Run(ctx)
		},
	}
	os.Exit(program.Main(command.Streams{Out: os.Stdout, Err: os.Stderr}))
}
