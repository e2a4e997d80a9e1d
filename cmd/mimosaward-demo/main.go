// Command mimosaward-demo runs the whole system as separate processes under load
// and injected faults, and checks its guarantees. It is not part of the product.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/demo"
)

// options holds the command-line options of the subcommand run.
type options struct {
	Binaries string `long:"binaries" default:"bin" description:"Directory that contains the programs"`
	Site     string `long:"site" default:"tegaki" choice:"tegaki" choice:"cairnloch" description:"Site whose installation the demo models"`
	Keep     bool   `long:"keep" description:"Keep the log and settings files after the run"`
	Figures  bool   `long:"figures" description:"Print the measurements as JSON objects, one per line"`
}

// Execute implements flags.Commander.
func (o *options) Execute([]string) error {
	site, err := demo.FindSite(o.Site)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process := &demo.Demo{Site: site, Binaries: o.Binaries, Out: os.Stdout, KeepLogs: o.Keep, PrintMeasurements: o.Figures}
	return process.Run(ctx)
}

func main() {
	streams := cli.Streams{Out: os.Stdout, Err: os.Stderr}
	parser := flags.NewNamedParser("mimosaward-demo", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddCommand("run", "Run the demo", "", &options{}); err != nil {
		os.Exit(cli.Fail(streams, err))
	}
	os.Exit(cli.ParseAndRun(parser, os.Args[1:], streams))
}
