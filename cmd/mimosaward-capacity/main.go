// Command mimosaward-capacity writes docs/CAPACITY.md from measurements. It is
// not part of the product.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/capacity"
	"github.com/mimosaward/mimosaward/internal/cli"
)

// options are the command line.
type options struct {
	Args struct {
		Measurements flags.Filename `positional-arg-name:"MEASUREMENTS" description:"File that make bench printed"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	streams := cli.Streams{Out: os.Stdout, Err: os.Stderr}
	var parsed options
	if status := cli.Parse(flags.NewParser(&parsed, flags.HelpFlag|flags.PassDoubleDash), os.Args[1:], streams); status != cli.ExitDone {
		os.Exit(status)
	}
	text, err := os.ReadFile(string(parsed.Args.Measurements))
	if err != nil {
		os.Exit(cli.Fail(streams, err))
	}
	all, err := capacity.Parse(text)
	if err != nil {
		os.Exit(cli.Fail(streams, err))
	}
	if _, err := os.Stdout.WriteString(capacity.Page(all)); err != nil {
		os.Exit(cli.Fail(streams, err))
	}
}
