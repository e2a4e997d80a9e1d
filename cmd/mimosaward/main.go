// Command mimosaward is the operators' command line.
package main

import (
	"os"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/daemon"
	"github.com/mimosaward/mimosaward/internal/operatorcli"
	"github.com/mimosaward/mimosaward/internal/platformclient"
)

func main() {
	program := &operatorcli.Program{
		Streams: cli.Streams{Out: os.Stdout, Err: os.Stderr},
		HTTP:    platformclient.NewRoundTripFunc(daemon.NewTCPNetwork().Dial),
	}
	os.Exit(program.Main(os.Args[1:]))
}
