// Command mimosaward-loader brings weights to the engine on its instance.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/command"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
)

func main() {
	program := &command.Hosted{
		Run: func(ctx context.Context, _ deployment.Deployment, _ *event.Logger) error {
			<-ctx.Done()
			return nil
		},
	}
	os.Exit(program.Main(command.Streams{Out: os.Stdout, Err: os.Stderr}))
}
