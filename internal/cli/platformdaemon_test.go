package cli_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/cli"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/settings"
)

// settingsOfDaemon is the environment variable that makes the test binary run as a daemon
// with the settings file that it names.
const settingsOfDaemon = "DAEMON_TEST_SETTINGS"

// metricsPortOfDaemon is the environment variable with the port of the daemon's metrics.
const metricsPortOfDaemon = "DAEMON_TEST_METRICS_PORT"

// holdOfDaemon is the environment variable that makes the daemon drain until its input ends.
const holdOfDaemon = "DAEMON_TEST_HOLD"

// drainTime is how long the daemon drains. It only has to exceed the time in which the
// process handles a signal.
const drainTime = 500 * time.Millisecond

// ownSettings is the name of the settings file that makes the test binary run as a
// DaemonCommand.
const ownSettings = "own.json"

// logRecordBytes is the size of the record that the daemon logs: more than a pipe holds.
const logRecordBytes = 128 << 10

func TestMain(m *testing.M) {
	switch file := os.Getenv(settingsOfDaemon); {
	case file == "":
		os.Exit(m.Run())
	case filepath.Base(file) == ownSettings:
		command := &cli.DaemonCommand{
			Name: "daemon", Load: func(string) (settings.Log, string, error) {
				return settings.Log{Format: "json", Level: "info"}, "own", nil
			},
			Run: func(ctx context.Context, _ *event.Logger) error { return runDaemon(ctx, nil) },
		}
		os.Exit(command.Main([]string{"--settings", file}, cli.Streams{Out: os.Stdout, Err: os.Stderr}))
	default:
		command := &cli.PlatformDaemonCommand{Name: "daemon", Run: func(ctx context.Context, env cli.Environment) error {
			env.Log.Emit(event.ProcessStarted, event.Fields{"address": strings.Repeat("a", logRecordBytes)})
			return runDaemon(ctx, env.Reload)
		}}
		os.Exit(command.Main([]string{"--settings", file, "--metrics-port", os.Getenv(metricsPortOfDaemon)}, cli.Streams{Out: os.Stdout, Err: os.Stderr}))
	}
}

// runDaemon prints "running" and, when it is asked to stop, "draining". Before that, it prints
// the grace period of changed settings.
func runDaemon(ctx context.Context, reload <-chan deployment.Deployment) error {
	fmt.Fprintln(os.Stderr, "running")
	<-ctx.Done()
	select {
	case changed := <-reload:
		fmt.Fprintln(os.Stderr, "grace period", changed.Bounds.GracePeriod)
	default:
	}
	fmt.Fprintln(os.Stderr, "draining")
	if os.Getenv(holdOfDaemon) != "" {
		_, err := io.Copy(io.Discard, os.Stdin)
		return err
	}
	time.Sleep(drainTime)
	return nil
}

// daemonProcess is the test binary that runs as a daemon.
type daemonProcess struct {
	t       *testing.T
	command *exec.Cmd
	lines   *bufio.Scanner
	// metricsURL is where the daemon serves its metrics.
	metricsURL string
}

// discardLog makes the daemon log to the null device.
func discardLog(*exec.Cmd) {}

// startDaemon starts a daemon. connectLog may set its standard output, which is its log.
func startDaemon(t *testing.T, settings string, connectLog func(*exec.Cmd)) *daemonProcess {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_, port, _ := net.SplitHostPort(address)
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), settingsOfDaemon+"="+settings, metricsPortOfDaemon+"="+port)
	connectLog(command)
	output, err := command.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	return &daemonProcess{t: t, command: command, lines: bufio.NewScanner(output), metricsURL: "http://" + address + "/metrics"}
}

func (d *daemonProcess) signal(signals ...syscall.Signal) {
	for _, sig := range signals {
		if err := d.command.Process.Signal(sig); err != nil {
			d.t.Errorf("send %s: %v", sig, err)
		}
	}
}

// requireLine waits for a line of the process.
func (d *daemonProcess) requireLine(line string) {
	d.t.Helper()
	for d.lines.Scan() {
		if d.lines.Text() == line {
			return
		}
	}
	d.t.Fatalf("process ended before it printed %q: %v", line, d.command.Wait())
}

// requireExit waits until the process ends and requires that it ended by itself.
func (d *daemonProcess) requireExit() {
	d.t.Helper()
	for d.lines.Scan() {
		d.t.Logf("daemon: %s", d.lines.Text())
	}
	if err := d.command.Wait(); err != nil {
		d.t.Errorf("process ended with %v, want status 0", err)
	}
}

// copySettings copies the example settings to a new file.
func copySettings(t *testing.T, file string) {
	content, err := os.ReadFile(filepath.Join("testdata", "instance.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a process that ends at once, with all its requests, when it receives
// SIGHUP while it drains.
func TestHangupWhileDrainingDoesNotEndProcess(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "instance.toml")
	copySettings(t, settings)
	daemon := startDaemon(t, settings, discardLog)
	daemon.requireLine("running")
	daemon.signal(syscall.SIGTERM)
	daemon.requireLine("draining")
	for start := time.Now(); time.Since(start) < drainTime/2; time.Sleep(drainTime / 20) {
		daemon.signal(syscall.SIGHUP, syscall.SIGTERM)
	}
	daemon.requireExit()
}

// Guards against a process that drains by the old grace period because its settings changed, with
// or without a signal, just before it was asked to stop.
func TestSettingsChangedBeforeStopAreReloaded(t *testing.T) {
	for _, hangup := range []bool{false, true} {
		settings := filepath.Join(t.TempDir(), "instance.toml")
		copySettings(t, settings)
		daemon := startDaemon(t, settings, discardLog)
		daemon.requireLine("running")
		content, err := os.ReadFile(settings)
		if err != nil {
			t.Fatal(err)
		}
		changed := settings + ".new"
		if err := os.WriteFile(changed, []byte(strings.Replace(string(content), "grace_s = 8", "grace_s = 9", 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(changed, settings); err != nil {
			t.Fatal(err)
		}
		if hangup {
			daemon.signal(syscall.SIGHUP)
		}
		daemon.signal(syscall.SIGTERM)
		daemon.requireLine("grace period 9s")
		daemon.requireExit()
	}
}

// Guards against a stop that waits for settings that cannot be read.
func TestUnreadableSettingsDoNotDelayStop(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "instance.toml")
	copySettings(t, settings)
	daemon := startDaemon(t, settings, discardLog)
	daemon.requireLine("running")
	if err := os.Remove(settings); err != nil {
		t.Fatal(err)
	}
	// A pipe without a writer blocks its reader.
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	daemon.signal(syscall.SIGTERM)
	// A process that waits for the settings would not end before it is killed.
	timer := time.AfterFunc(20*drainTime, func() { _ = daemon.command.Process.Kill() })
	defer timer.Stop()
	daemon.requireLine("draining")
	daemon.requireExit()
}

// Guards against a process that ends when it receives SIGHUP although it has no settings to
// reload.
func TestHangupDoesNotEndOwnDaemon(t *testing.T) {
	daemon := startDaemon(t, filepath.Join(t.TempDir(), ownSettings), discardLog)
	daemon.requireLine("running")
	daemon.signal(syscall.SIGHUP, syscall.SIGTERM)
	daemon.requireLine("draining")
	daemon.signal(syscall.SIGHUP)
	daemon.requireExit()
}

// Guards against a process that ends, with all its requests, when the reader of its log does.
func TestClosedLogDoesNotEndProcess(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "instance.toml")
	copySettings(t, settings)
	daemon := startDaemon(t, settings, func(command *exec.Cmd) {
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := reader.Close(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = writer.Close() })
		command.Stdout = writer
	})
	daemon.requireLine("running")
	daemon.signal(syscall.SIGTERM)
	daemon.requireLine("draining")
	daemon.requireExit()
}

// Guards against a process that never exits because nobody reads its log.
func TestUnreadLogDoesNotKeepProcessRunning(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "instance.toml")
	copySettings(t, settings)
	daemon := startDaemon(t, settings, func(command *exec.Cmd) {
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
		command.Stdout = writer
	})
	daemon.requireLine("running")
	daemon.signal(syscall.SIGTERM)
	daemon.requireLine("draining")
	// A process that waits for its log would not end before it is killed.
	timer := time.AfterFunc(20*drainTime, func() { _ = daemon.command.Process.Kill() })
	defer timer.Stop()
	daemon.requireExit()
}

// Guards against a daemon whose metrics end with the signal to stop, so that nothing shows
// how it drains.
func TestMetricsWhileDraining(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "instance.toml")
	copySettings(t, settings)
	var hold io.WriteCloser
	daemon := startDaemon(t, settings, func(command *exec.Cmd) {
		discardLog(command)
		command.Env = append(command.Env, holdOfDaemon+"=1")
		var err error
		if hold, err = command.StdinPipe(); err != nil {
			t.Fatal(err)
		}
	})
	daemon.requireLine("running")
	daemon.signal(syscall.SIGTERM)
	daemon.requireLine("draining")
	// The daemon may not listen yet, but it drains until its input ends.
	var response *http.Response
	err := errors.New("not requested")
	for start := time.Now(); err != nil && time.Since(start) < 10*drainTime; time.Sleep(drainTime / 20) {
		response, err = http.Get(daemon.metricsURL)
	}
	if err != nil {
		t.Errorf("get the metrics: %v", err)
	} else if err := response.Body.Close(); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("metrics have status %d, error %v", response.StatusCode, err)
	}
	if err := hold.Close(); err != nil {
		t.Error(err)
	}
	daemon.requireExit()
}

// Guards against a process that ends when it receives SIGHUP before it has read its
// settings.
func TestHangupWhileStartingDoesNotEndProcess(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "instance.toml")
	if err := syscall.Mkfifo(settings, 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := startDaemon(t, settings, discardLog)
	// Opening the pipe waits until the process reads its settings.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	daemon.signal(syscall.SIGHUP)
	if err := os.Remove(settings); err != nil {
		t.Fatal(err)
	}
	copySettings(t, settings)
	content, err := os.ReadFile(settings)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.Write(content); err != nil {
		t.Errorf("write the settings: %v", err)
	}
	if err := pipe.Close(); err != nil {
		t.Error(err)
	}
	daemon.requireLine("running")
	daemon.signal(syscall.SIGTERM)
	daemon.requireExit()
}
