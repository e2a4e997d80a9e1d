package lifecycle

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Roles of a daemon.
const (
	roleGateway = "gateway"
	roleLoader  = "loader"
)

const (
	// readyTimeout is how long a start may take on a busy machine.
	readyTimeout      = 30 * time.Second
	readyPollInterval = 20 * time.Millisecond
	// killDelay is how long after SIGTERM a process that does not exit is killed.
	killDelay = gracePeriod + 10*time.Second
)

// daemon is a gateway or a loader with its address and settings file, through all its runs.
type daemon struct {
	site *site
	name string
	role string
	host int

	// busy is held by the event that stops or starts the daemon.
	busy sync.Mutex

	mu        sync.Mutex
	runs      int
	variant   int
	current   *process
	processes []*process
}

func newDaemon(s *site, role string, host int) *daemon {
	return &daemon{site: s, role: role, host: host, name: fmt.Sprintf("%s-%d", role, host)}
}

func (d *daemon) class() string {
	if d.role == roleGateway {
		return "edge"
	}
	return "side"
}

func (d *daemon) interfaces() []string {
	if d.role == roleGateway {
		return []string{"edge", "registry", "control"}
	}
	return []string{"side"}
}

// file returns the name of a file of the current run.
func (d *daemon) file(suffix string) string {
	return filepath.Join(d.site.directory, fmt.Sprintf("%s.%d%s", d.name, d.runs, suffix))
}

func (d *daemon) settingsFile() string { return filepath.Join(d.site.directory, d.name+".toml") }

// writeSettings replaces the settings file. A reader sees the old or the new content.
func (d *daemon) writeSettings(variant int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.variant = variant
	d.replaceSettings()
}

func (d *daemon) replaceSettings() {
	temporary := d.settingsFile() + ".new"
	must(os.WriteFile(temporary, []byte(d.site.settingsOf(d, d.variant)), 0o600))
	must(os.Rename(temporary, d.settingsFile()))
}

// start starts the program.
func (d *daemon) start() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replaceSettings()
	return d.run()
}

func (d *daemon) run() *process {
	directory, err := binaries()
	must(err)
	d.current = d.launch(filepath.Join(directory, "mimosaward-"+d.role), d.settingsFile())
	d.processes = append(d.processes, d.current)
	return d.current
}

// startBlocked starts the program, which blocks while it reads its settings, calls
// meanwhile, and then lets the program continue.
func (d *daemon) startBlocked(meanwhile func(p *process)) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = os.Remove(d.settingsFile())
	must(syscall.Mkfifo(d.settingsFile(), 0o600))
	p := d.run()
	pipe, err := openPipe(d.settingsFile())
	must(err)
	d.replaceSettings()
	meanwhile(p)
	// The program may have ended.
	_, _ = pipe.WriteString(d.site.settingsOf(d, d.variant))
	_ = pipe.Close()
	return p
}

// openPipe opens a named pipe for writing as soon as it has a reader.
func openPipe(name string) (*os.File, error) {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(time.Millisecond) {
		pipe, err := os.OpenFile(name, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil || !errors.Is(err, syscall.ENXIO) || time.Now().After(deadline) {
			return pipe, err
		}
	}
}

// process returns the current run.
func (d *daemon) process() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// stop sends SIGTERM and waits for the exit.
func (d *daemon) stop() {
	p := d.process()
	p.terminate()
	d.awaitExit(p)
}

// awaitExit waits for the exit of a process that has received SIGTERM.
func (d *daemon) awaitExit(p *process) {
	if !p.waitExited(killDelay) {
		d.site.t.Errorf("%s did not exit within %s after SIGTERM", p.output, killDelay)
		p.kill()
	}
}

// awaitReady waits until a gateway is ready or has ended.
func (d *daemon) awaitReady() {
	if d.role != roleGateway {
		return
	}
	p := d.process()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline) && !p.exited(); time.Sleep(readyPollInterval) {
		response, err := client.Get("http://" + d.site.address(d.host, readyPort) + "/-/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			p.ready.Store(true)
			return
		}
	}
	if !p.exited() {
		d.site.t.Errorf("%s was not ready within %s", p.output, readyTimeout)
	}
}

// dial connects a caller to a gateway.
func (d *daemon) dial(ctx context.Context) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp4", d.site.address(d.host, callersPort))
}

// dialTimeout is how long callers wait for a connection.
const dialTimeout = time.Second
