// Command mimosaward-capacity prints docs/CAPACITY.md, generated from measurements.
// It is not part of the product.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/capacity"
	"github.com/mimosaward/mimosaward/internal/cli"
)

// options holds the command-line arguments.
type options struct {
	Args struct {
		Measurements flags.Filename `positional-arg-name:"MEASUREMENTS" description:"Measurements file as printed by make bench"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	streams := cli.Streams{Out: os.Stdout, Err: os.Stderr}
	var parsed options
	if status := cli.ParseAndRun(flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash), os.Args[1:], streams); status != cli.ExitSuccess {
		os.Exit(status)
	}
	text, err := os.ReadFile(string(parsed.Args.Measurements))
	if err != nil {
		os.Exit(cli.Fail(streams, err))
	}
	measurements, err := capacity.Parse(text)
	if err != nil {
		os.Exit(cli.Fail(streams, err))
	}
	if _, err := os.Stdout.WriteString(capacity.Page(measurements)); err != nil {
		os.Exit(cli.Fail(streams, err))
	}
}
