// Command mimosaward-agent runs the agent of an endpoint: it admits the endpoint's
// requests, checks its responses and loads weights into its engine.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/agent"
	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/daemon"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/settings"
)

func main() {
	var loaded settings.Agent
	program := &cli.DaemonCommand{
		Name:        "mimosaward-agent",
		Description: "Runs next to an endpoint: admits requests, checks responses, fetches weights and instructs the engine to load them.",
		Load: func(file string) (settings.Log, string, error) {
			var err error
			loaded, err = settings.LoadAgent(file)
			return loaded.Log, loaded.Instance.Name, err
		},
		Run: func(ctx context.Context, log *event.Logger) error {
			network := daemon.NewTCPNetwork()
			process := &agent.Agent{Settings: loaded, Platform: daemon.NewPlatform(network), Network: network, Log: log}
			return process.Run(ctx)
		},
	}
	os.Exit(program.Main(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
