// Command mimosaward is the operators' command line.
package main

import (
	"os"

	"github.com/mimosaward/mimosaward/internal/command"
	"github.com/mimosaward/mimosaward/internal/operator"
	"github.com/mimosaward/mimosaward/internal/platform"
	"github.com/mimosaward/mimosaward/internal/process"
)

func main() {
	running := &operator.Operator{
		Streams: command.Streams{Out: os.Stdout, Err: os.Stderr},
		HTTP:    platform.NewHTTP(process.TCP().Dial),
	}
	os.Exit(running.Main(os.Args[1:]))
}
