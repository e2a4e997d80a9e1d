// Package cli implements the command-line features that all programs share:
// help, version, shell completion, settings files and exit statuses.
package cli

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"

	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/settings"
)

// Exit statuses.
const (
	ExitSuccess = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Streams holds the output streams of a program.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

// DaemonOptions holds the command-line options of a DaemonCommand.
type DaemonOptions struct {
	Settings   string `long:"settings" short:"s" value-name:"FILE" description:"Settings file (JSON)"`
	Check      bool   `long:"check" description:"Check the settings file and exit"`
	Version    bool   `long:"version" description:"Print the version and exit"`
	Completion bool   `long:"completion" description:"Print a bash completion script and exit"`
}

// DaemonCommand is the command line of a program that runs until it receives
// SIGTERM or SIGINT.
type DaemonCommand struct {
	Name        string
	Description string
	// Load reads the settings file. It returns the log settings and the
	// instance name.
	Load func(file string) (settings.Log, string, error)
	// Run serves until ctx is done, then drains requests in flight.
	Run func(ctx context.Context, log *event.Logger) error
}

// Main parses the arguments, runs the daemon until SIGTERM or SIGINT, and
// returns the exit status. SIGHUP has no effect.
func (d *DaemonCommand) Main(args []string, streams Streams) int {
	_ = protectFromSignals()
	var options DaemonOptions
	parser := flags.NewNamedParser(d.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = d.Description
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		return Fail(streams, err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return printUsage(streams, err)
	}
	switch {
	case options.Version:
		_, _ = fmt.Fprintln(streams.Out, d.Name, Version())
		return ExitSuccess
	case options.Completion:
		_, _ = io.WriteString(streams.Out, CompletionScript(d.Name))
		return ExitSuccess
	case options.Settings == "":
		_, _ = fmt.Fprintf(streams.Err, "%s: --settings is required; see %s --help\n", d.Name, d.Name)
		return ExitUsage
	}
	return d.start(options, streams)
}

func (d *DaemonCommand) start(options DaemonOptions, streams Streams) int {
	logSettings, instance, err := d.Load(options.Settings)
	if err != nil {
		return Fail(streams, err)
	}
	if options.Check {
		_, _ = fmt.Fprintf(streams.Out, "%s: ok\n", options.Settings)
		return ExitSuccess
	}
	log, err := event.NewLogger(streams.Err, logSettings.Format, logSettings.Level, instance)
	if err != nil {
		return Fail(streams, err)
	}
	ctx := stopSignal()
	if err := d.Run(ctx, log); err != nil {
		return Fail(streams, err)
	}
	return ExitSuccess
}

// Fail prints err to the error stream and returns ExitFailure.
func Fail(streams Streams, err error) int {
	_, _ = fmt.Fprintln(streams.Err, err)
	return ExitFailure
}

// printUsage prints the help text to the output stream if err is a help request, or
// else the usage error to the error stream. It returns the exit status.
func printUsage(streams Streams, err error) int {
	var parseErr *flags.Error
	if errors.As(err, &parseErr) && parseErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(streams.Out, err)
		return ExitSuccess
	}
	_, _ = fmt.Fprintln(streams.Err, err)
	return ExitUsage
}

// ParseAndRun parses args, runs the subcommand that they select, if any, and returns the
// exit status. Subcommands implement flags.Commander.
func ParseAndRun(parser *flags.Parser, args []string, streams Streams) int {
	_, err := parser.ParseArgs(args)
	var parseErr *flags.Error
	switch {
	case err == nil:
		return ExitSuccess
	case errors.As(err, &parseErr):
		return printUsage(streams, err)
	default:
		return Fail(streams, err)
	}
}

// Version returns the module version that the program was built from, or
// "(devel)" if the build does not record one.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// CompletionScript returns a bash completion script for a program.
func CompletionScript(program string) string {
	return fmt.Sprintf(`_%[2]s() {
  local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _%[2]s %[1]s
`, program, shellIdentifier(program))
}

// shellIdentifier replaces the hyphens of a program name by underscores, so that
// the result can be part of a bash function name.
func shellIdentifier(program string) string {
	name := []byte(program)
	for index, b := range name {
		if b == '-' {
			name[index] = '_'
		}
	}
	return string(name)
}
