// Command mimosaward-entry runs an entry, which serves callers and routes their
// requests to endpoints.
package main

import (
	"context"
	"os"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/daemon"
	"github.com/mimosaward/mimosaward/internal/entry"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/settings"
)

func main() {
	var loaded settings.Entry
	program := &cli.DaemonCommand{
		Name:        "mimosaward-entry",
		Description: "Serves callers: routes their requests to endpoints and ensures that a non-idempotent call runs at most once.",
		Load: func(file string) (settings.Log, string, error) {
			var err error
			loaded, err = settings.LoadEntry(file)
			return loaded.Log, loaded.Instance.Name, err
		},
		Run: func(ctx context.Context, log *event.Logger) error {
			network := daemon.NewTCPNetwork()
			process := &entry.Entry{Settings: loaded, Platform: daemon.NewPlatform(network), Network: network, Log: log}
			return process.Run(ctx)
		},
	}
	os.Exit(program.Main(os.Args[1:], cli.Streams{Out: os.Stdout, Err: os.Stderr}))
}
