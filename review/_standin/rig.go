package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"golang.org/x/sys/unix"

	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Ports of a machine, as in the settings of a small deployment. Every machine has an
// address of its own.
const (
	storePort     = 8007
	frontPort     = 8005
	readyPort     = 8002
	controlPort   = 8000
	directoryPort = 8009
	workerPort    = 9000
)

// Bounds of the small deployments, in the settings of every process.
const (
	contactTime = 3 * time.Second
)

// rig is a small deployment: real gateways and loaders, and stand-ins for the rest.
type rig struct {
	root    string
	dir     string
	network int
	store   *platformtest.Store
	started time.Time
	zones   map[string]string
	seeds   []string

	mu        sync.Mutex
	record    *os.File
	processes []*process
}

// process is a gateway or a loader.
type process struct {
	rig      *rig
	name     string
	role     string
	ip       string
	settings string
	// oneCore lets the process use one core only, as the machines of the small sites have one.
	oneCore bool

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	runs    int
}

// newRig creates the record, and serves the store on a free loopback network.
func newRig(caseDir string) (*rig, error) {
	root, err := filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	r := &rig{root: root, dir: dir, record: record, store: platformtest.NewStore(), started: time.Now(), zones: map[string]string{}}
	for range 100 {
		r.network = 256*(1+rand.IntN(250)) + rand.IntN(256)
		listener, err := net.Listen("tcp4", r.address(1, storePort))
		if err != nil {
			continue
		}
		background.Go(func(ctx context.Context) { platformtest.Serve(ctx, listener, r.store.Handle) })
		return r, nil
	}
	return nil, fmt.Errorf("found no free loopback network")
}

func (r *rig) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.network>>8, r.network&255, host)
}

func (r *rig) address(host, port int) string {
	return net.JoinHostPort(r.ip(host), strconv.Itoa(port))
}

// note writes a line with the time since the start to the record.
func (r *rig) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line to the record and to the standard output.
func (r *rig) say(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

// close ends all processes that the rig started.
func (r *rig) close() {
	r.mu.Lock()
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
}

// commands returns the command of each role of the deploy file.
func (r *rig) commands() (map[string]string, error) {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	var file struct {
		Roles map[string]struct {
			Run string `toml:"run"`
		} `toml:"roles"`
	}
	if err := toml.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	commands := map[string]string{}
	for role, settings := range file.Roles {
		commands[role] = settings.Run
	}
	return commands, nil
}

// gateway adds a gateway at a host.
func (r *rig) gateway(host int, zone string) *process {
	name := "gateway-" + strconv.Itoa(host)
	text := r.settings(name, "gateway", host, zone, 284, 1000) + fmt.Sprintf(`serves = ["edge", "registry", "control"]
[listen]
frontend = %q
ready = %q
control_plane = %q
directory_addr = %q
`, r.address(host, frontPort), r.address(host, readyPort), r.address(host, controlPort), r.address(host, directoryPort)) + r.sections(284, 1000)
	return r.add(name, "gateway", host, text)
}

// loader adds a loader beside the worker of a service at a host.
func (r *rig) loader(host int, zone, service string) *process {
	name := "loader-" + strconv.Itoa(host)
	text := r.settings(name, "loader", host, zone, 152, 7.3) + fmt.Sprintf("serves = [\"side\"]\napp = %q\nservice = %q\n", r.address(host, workerPort), service) + r.sections(152, 7.3)
	return r.add(name, "loader", host, text)
}

func (r *rig) add(name, role string, host int, settings string) *process {
	p := &process{rig: r, name: name, role: role, ip: r.ip(host), settings: filepath.Join(r.dir, name+".toml")}
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		panic(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.processes = append(r.processes, p)
	return p
}

// startOnOneCore starts a command that may use one core only.
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var usual, single unix.CPUSet
	if err := unix.SchedGetaffinity(0, &usual); err != nil {
		return err
	}
	core := rand.IntN(usual.Count())
	for index := 0; ; index++ {
		if !usual.IsSet(index) {
			continue
		}
		if core == 0 {
			single.Set(index)
			break
		}
		core--
	}
	if err := unix.SchedSetaffinity(0, &single); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &usual) }()
	return command.Start()
}

func (r *rig) settings(name, role string, host int, zone string, _, _ float64) string {
	seeds, _ := json.Marshal(r.seeds)
	return fmt.Sprintf("node_name = %q\nrole = %q\nip = %q\nzone = %q\nregion = %q\ninternal_ports = [7700, 7715]\nseeds = %s\nbootstrap = true\nheartbeat_ms = 1200\n",
		name, role, r.ip(host), zone, r.zones[zone], seeds)
}

func (r *rig) sections(memory, link float64) string {
	var zones strings.Builder
	for zone, region := range r.zones {
		fmt.Fprintf(&zones, "%s = %q\n", zone, region)
	}
	return fmt.Sprintf(`[zones]
%s[limits]
cpu_share = 0.4
memory_mb = %g
max_fds = 4200
link_mbps = %g
[bounds]
reuse_after_s = 2
contact_ms = 3000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 100
cold_overshoot = 1.5
cold_tolerance = 5
evacuate_ms = 5000
event_delay_ms = 120
version_ms = 8000
ttl_max_s = 5
[platform]
address = %q
reads_per_s = 2000
max_value_bytes = 1048576
`, zones.String(), memory, link, r.address(1, storePort))
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	commands, err := p.rig.commands()
	if err != nil {
		return err
	}
	words := strings.Fields(commands[p.role])
	if len(words) == 0 {
		return fmt.Errorf("the deploy file has no role %s", p.role)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs++
	output, err := os.Create(filepath.Join(p.rig.dir, fmt.Sprintf("%s.%d.log", p.name, p.runs)))
	if err != nil {
		return err
	}
	command := exec.Command(words[0], words[1:]...)
	command.Dir = p.rig.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "MIMOSAWARD_BOOT=" + p.settings}
	command.Stdout, command.Stderr = output, output
	begin := command.Start
	if p.oneCore {
		begin = func() error { return startOnOneCore(command) }
	}
	if err := begin(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	p.rig.note("%s started, process %d", p.name, command.Process.Pid)
	background.Go(func(context.Context) {
		err := command.Wait()
		p.rig.note("%s ended: %v", p.name, err)
		_ = output.Close()
		close(exited)
	})
	return nil
}

func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.running() {
		_ = p.command.Process.Signal(signal)
	}
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// anonymousKB returns the resident memory of the process without that of files, 0 if it has ended.
func (p *process) anonymousKB() int {
	p.mu.Lock()
	pid := 0
	if p.command != nil {
		pid = p.command.Process.Pid
	}
	p.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes
		}
	}
	return 0
}

// ready asks a gateway whether it is ready, as the platform does.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(p.ip, strconv.Itoa(readyPort)) + "/-/readyz")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until the gateways are ready.
func awaitReady(gateways []*process, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range gateways {
		for !p.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", p.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (p *process) front() string { return net.JoinHostPort(p.ip, strconv.Itoa(frontPort)) }

// write writes an object to the store, as the operator or a worker does.
func (r *rig) write(kind, name string, spec any) { r.store.Put(kind, name, spec) }

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return bytes.TrimSpace(text)
}
