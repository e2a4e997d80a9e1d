// Command mimosaward-standin runs fakes of the platform's services and of endpoints
// for the demo. It is not part of the product.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/fakes"
)

func main() {
	streams := cli.Streams{Out: os.Stdout, Err: os.Stderr}
	parser := flags.NewNamedParser("mimosaward-standin", flags.HelpFlag|flags.PassDoubleDash)
	for _, fake := range fakes.Programs() {
		if _, err := parser.AddCommand(fake.Name, fake.Description, "", fake.Commander); err != nil {
			os.Exit(cli.Fail(streams, err))
		}
	}
	os.Exit(cli.ParseAndRun(parser, os.Args[1:], streams))
}
