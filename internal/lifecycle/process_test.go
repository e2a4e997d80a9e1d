package lifecycle

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
)

// process is one run of a program.
type process struct {
	daemon    *daemon
	command   *exec.Cmd
	output    string
	errOutput string
	startedAt time.Time
	done      chan struct{}
	// ready is set when a gateway has been ready.
	ready atomic.Bool

	mu       sync.Mutex
	stopAt   time.Time
	killed   bool
	hangups  int
	started  bool
	exitedAt time.Time
	err      error
}

// awaitExit records the exit of the process.
func (p *process) awaitExit(context.Context) {
	err := p.command.Wait()
	p.mu.Lock()
	p.err, p.exitedAt = err, time.Now()
	p.mu.Unlock()
	close(p.done)
}

// exited reports whether the process has exited.
func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// waitExited waits for the exit for at most the duration and reports whether it happened.
func (p *process) waitExited(limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-p.done:
		return true
	case <-timer.C:
		return false
	}
}

// stopping reports whether the process has received SIGTERM, and when it did so first.
func (p *process) stopping() (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopAt, !p.stopAt.IsZero()
}

// terminate sends SIGTERM.
func (p *process) terminate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopAt.IsZero() && p.exitedAt.IsZero() {
		p.started = p.printed("process started")
		p.stopAt = time.Now()
	}
	_ = p.command.Process.Signal(syscall.SIGTERM)
}

// terminateUntilExit sends SIGTERM again and again.
func (p *process) terminateUntilExit() {
	p.terminate()
	for !p.waitExited(repeatInterval) && time.Since(p.stopAt) < killDelay {
		_ = p.command.Process.Signal(syscall.SIGTERM)
	}
}

// repeatInterval is the pause between repeated signals.
const repeatInterval = time.Millisecond

// hangUp sends SIGHUP.
func (p *process) hangUp() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hangups++
	_ = p.command.Process.Signal(syscall.SIGHUP)
}

// kill sends SIGKILL and waits for the exit.
func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	p.mu.Unlock()
	_ = p.command.Process.Kill()
	<-p.done
}

// printed reports whether the standard output contains a text.
func (p *process) printed(text string) bool {
	content, err := os.ReadFile(p.output)
	return err == nil && strings.Contains(string(content), text)
}

// check returns what is wrong about a process that has exited.
func (p *process) check() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var findings []string
	if text, err := os.ReadFile(p.errOutput); err != nil || len(text) > 0 {
		findings = append(findings, "standard error is not empty: "+firstLines(string(text), 5))
	}
	if p.killed {
		return findings
	}
	if p.stopAt.IsZero() {
		return append(findings, "ended by itself: "+errorText(p.err)+" after "+p.exitedAt.Sub(p.startedAt).String())
	}
	var exit *exec.ExitError
	terminated := errors.As(p.err, &exit) && exit.Sys().(syscall.WaitStatus).Signal() == syscall.SIGTERM
	if !p.started && terminated {
		// The signal came before the program could do anything.
		return findings
	}
	if p.err != nil {
		findings = append(findings, "exit status after SIGTERM: "+p.err.Error())
	}
	if took := p.exitedAt.Sub(p.stopAt); took > gracePeriod+exitSlack {
		findings = append(findings, "exited "+took.String()+" after SIGTERM")
	}
	lines := []string{"process stopped"}
	if p.started && p.daemon.role == roleGateway {
		lines = append(lines, "drain started", "drain ended")
	}
	for _, line := range lines {
		if !p.printed(line) {
			findings = append(findings, "did not print \""+line+"\"")
		}
	}
	return findings
}

// exitSlack allows for the time from the exit until the test notices it on a busy machine.
const exitSlack = 2 * time.Second

func firstLines(text string, count int) string {
	lines := strings.SplitN(text, "\n", count+1)
	return strings.Join(lines[:min(len(lines), count)], "\n")
}

func errorText(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// must panics if the test cannot do its part.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// launch starts a program with a settings file and its output in files.
func (d *daemon) launch(program, settings string) *process {
	d.runs++
	p := &process{daemon: d, done: make(chan struct{}), startedAt: time.Now()}
	p.output, p.errOutput = d.file(".out"), d.file(".err")
	out, err := os.Create(p.output)
	must(err)
	errOut, err := os.Create(p.errOutput)
	must(err)
	p.command = exec.Command(program, "--settings", settings)
	p.command.Stdout, p.command.Stderr = out, errOut
	// By default, the race detector delays the exit by a second.
	p.command.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0")
	// The program must not outlive a test that ends early.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(p.command.Start())
	_, _ = out.Close(), errOut.Close()
	concurrency.NewGroup(context.Background()).Go(p.awaitExit)
	return p
}
