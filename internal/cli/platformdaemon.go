package cli

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/platform"
)

// PlatformDaemonOptions holds the command-line options of a PlatformDaemonCommand.
type PlatformDaemonOptions struct {
	Settings    string `long:"settings" short:"s" value-name:"FILE" description:"Settings file of the platform; defaults to the file named by the platform's environment variable"`
	MetricsPort int    `long:"metrics-port" value-name:"PORT" description:"Port on which the instance serves metrics at /metrics"`
	Check       bool   `long:"check" description:"Check the settings file and exit"`
	Version     bool   `long:"version" description:"Print the version and exit"`
	Completion  bool   `long:"completion" description:"Print a bash completion script and exit"`
}

// PlatformDaemonCommand is the command line of a daemon that the users' platform starts.
// The platform passes the path of the settings file in an environment variable.
type PlatformDaemonCommand struct {
	Name        string
	Description string
	// Run serves until ctx is done, then drains requests in flight.
	Run func(ctx context.Context, env Environment) error
}

// Environment holds the dependencies that a PlatformDaemonCommand passes to its Run
// function.
type Environment struct {
	Deployment deployment.Deployment
	Log        *event.Logger
	Registry   *prometheus.Registry
	// Reload receives the new deployment each time the settings file changes.
	Reload <-chan deployment.Deployment
}

// LogAcceptError logs that a connection to an address could not be accepted.
func (e *Environment) LogAcceptError(address string, err error) {
	e.Log.Emit(event.AcceptFailed, event.Fields{"address": address, "error": err.Error()})
}

// Main parses the arguments, runs the program until SIGTERM or SIGINT, and returns the
// exit status. SIGHUP never ends the program, also not while it starts or drains.
func (d *PlatformDaemonCommand) Main(args []string, streams Streams) int {
	hangups := protectFromSignals()
	var options PlatformDaemonOptions
	parser := flags.NewNamedParser(d.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = d.Description
	if _, err := parser.AddGroup("Options", "", &options); err != nil {
		return Fail(streams, err)
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return printUsage(streams, err)
	}
	if options.Settings == "" {
		options.Settings = os.Getenv(platform.SettingsVariable)
	}
	switch {
	case options.Version:
		_, _ = fmt.Fprintln(streams.Out, d.Name, Version())
		return ExitSuccess
	case options.Completion:
		_, _ = fmt.Fprint(streams.Out, CompletionScript(d.Name))
		return ExitSuccess
	case options.Settings == "":
		_, _ = fmt.Fprintf(streams.Err, "%s: no settings file; see %s --help\n", d.Name, d.Name)
		return ExitUsage
	}
	return d.start(options, streams, hangups)
}

func (d *PlatformDaemonCommand) start(options PlatformDaemonOptions, streams Streams, hangups <-chan os.Signal) int {
	loaded, err := platform.LoadSettings(options.Settings)
	if err != nil {
		return Fail(streams, err)
	}
	if options.Check {
		_, _ = fmt.Fprintf(streams.Out, "%s: ok\n", options.Settings)
		return ExitSuccess
	}
	logger, err := event.NewLogger(streams.Out, "json", "info", loaded.Instance.Name)
	if err != nil {
		return Fail(streams, err)
	}
	log := logger.Queued()
	logWriter := concurrency.NewGroup(context.Background())
	logWriter.Go(log.Run)
	defer stopBackground(logWriter)
	if memory := loaded.Resources.MemoryBytes; memory > 0 {
		debug.SetMemoryLimit(memory / memoryLimitDivisor * memoryLimitFactor)
	}
	registry := prometheus.NewRegistry()
	watcher := &settingsWatcher{
		file: options.Settings, log: log, hangups: hangups, stop: stopSignal(), stopChecked: make(chan struct{}), changed: make(chan deployment.Deployment, 1), last: loaded,
	}
	// The metrics and the watcher must last until the program has drained.
	background := concurrency.NewGroup(context.Background())
	background.Go(watcher.run)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	background.Go(func(backgroundCtx context.Context) { watcher.awaitStop(backgroundCtx, cancel) })
	if options.MetricsPort > 0 {
		address := net.JoinHostPort(loaded.Instance.IP, strconv.Itoa(options.MetricsPort))
		background.Go(func(ctx context.Context) { serveMetrics(ctx, address, registry, log) })
	}
	err = d.Run(ctx, Environment{Deployment: loaded, Log: log, Registry: registry, Reload: watcher.changed})
	stopBackground(background)
	if err != nil {
		log.Emit(event.ServerFailed, event.Fields{"error": err.Error()})
		return Fail(streams, err)
	}
	log.Emit(event.ProcessStopped, event.Fields{})
	return ExitSuccess
}

// memoryLimitFactor / memoryLimitDivisor is the part of its memory at which a process frees
// garbage without delay. The rest is for what the kernel holds for its connections.
const memoryLimitFactor, memoryLimitDivisor = 3, 4

// backgroundStopTimeout bounds the time in which background tasks end, and the last records are
// written: a log output that nobody reads, or settings that cannot be read, must not keep the
// process running.
const backgroundStopTimeout = 300 * time.Millisecond

// stopBackground stops the tasks and waits until they have ended, for at most
// backgroundStopTimeout.
func stopBackground(tasks *concurrency.Group) {
	tasks.Stop()
	ended := make(chan struct{})
	waiter := concurrency.NewGroup(context.Background())
	waiter.Go(func(context.Context) {
		tasks.Wait()
		close(ended)
	})
	select {
	case <-ended:
	case <-time.After(backgroundStopTimeout):
	}
}
