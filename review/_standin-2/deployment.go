package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/platform/platformtest"
)

// Ports of the processes, each of which has an address of its own.
const (
	storePort     = 8007
	originPort    = 8008
	callersPort   = 8005
	readyPort     = 8002
	controlPort   = 8000
	directoryPort = 8009
	enginePort    = 9000
)

const (
	zoneName   = "lothian-a"
	regionName = "lothian"
	storeHost  = 1
	originHost = 2
)

// deployment is a small deployment of the project's programs on loopback addresses, with
// stand-ins for the platform in this process.
type deployment struct {
	ctx       context.Context
	directory string
	// network is the number of the /24 network of the deployment.
	network int
	store   *platformtest.Store
	seeds   []string
	tasks   *concurrency.Group
	record  *record
	// rolloutBound is version_ms of the settings.
	rolloutBound int

	mu        sync.Mutex
	processes []*exec.Cmd
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newDeployment serves the store on a network that nobody uses. gateways are the hosts of the
// gateways that other processes start with.
func newDeployment(ctx context.Context, directory string, record *record, gateways []int) (*deployment, error) {
	d := &deployment{
		ctx: ctx, directory: directory, store: platformtest.NewStore(), tasks: concurrency.NewGroup(ctx), record: record, rolloutBound: 8000,
	}
	for range 100 {
		d.network = 256 + rand.IntN(1<<15)
		listener, err := net.Listen("tcp4", d.address(storeHost, storePort))
		if err != nil {
			continue
		}
		d.serve(listener, d.store.Handle)
		for _, host := range gateways {
			d.seeds = append(d.seeds, d.address(host, controlPort))
		}
		d.seeds = d.seeds[:min(len(d.seeds), 3)]
		return d, nil
	}
	return nil, errors.New("found no free network")
}

func (d *deployment) ip(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", d.network>>8, d.network&255, host)
}

func (d *deployment) address(host, port int) string { return fmt.Sprintf("%s:%d", d.ip(host), port) }

func (d *deployment) serve(listener net.Listener, handle fasthttp.RequestHandler) {
	d.tasks.Go(func(ctx context.Context) { platformtest.Serve(ctx, listener, handle) })
}

// settings returns the settings file of a process. The figures are those of the users' deployment
// cairnloch-quota.
func (d *deployment) settings(role string, host int, service string) string {
	var text strings.Builder
	class, serves := "edge", `"edge", "registry", "control"`
	if role == "loader" {
		class, serves = "side", `"side"`
	}
	fmt.Fprintf(&text, "node_name = \"%s-%d\"\nrole = %q\nmachine_class = %q\nserves = [%s]\nip = %q\nzone = %q\nregion = %q\n",
		role, host, role, class, serves, d.ip(host), zoneName, regionName)
	fmt.Fprintf(&text, "internal_ports = [7700, 7715]\nseeds = [\"%s\"]\nbootstrap = true\nheartbeat_ms = 1200\n", strings.Join(d.seeds, `", "`))
	if role == "loader" {
		fmt.Fprintf(&text, "app = %q\nservice = %q\n", d.address(host, enginePort), service)
	}
	fmt.Fprintf(&text, "[zones]\n%s = %q\n[listen]\n", zoneName, regionName)
	if role == "gateway" {
		fmt.Fprintf(&text, "frontend = %q\nready = %q\ncontrol_plane = %q\ndirectory_addr = %q\n",
			d.address(host, callersPort), d.address(host, readyPort), d.address(host, controlPort), d.address(host, directoryPort))
	}
	memory, descriptors, link := 284, 4200, 1000.0
	if role == "loader" {
		memory, descriptors, link = 152, 2048, 7.3
	}
	fmt.Fprintf(&text, "[limits]\ncpu_share = 0.48\ncores = 1\nmemory_mb = %d\nmax_fds = %d\nlink_mbps = %.1f\n", memory, descriptors, link)
	fmt.Fprintf(&text, "[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n")
	fmt.Fprintf(&text, "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n")
	fmt.Fprintf(&text, "retry_budget_ratio = 0.2\nretry_window_s = 10\nretry_slack = 100\ncold_overshoot = %.1f\ncold_tolerance = %d\n", coldOvershoot, coldTolerance)
	fmt.Fprintf(&text, "evacuate_ms = 5000\nrecovery_s = 12\nevent_delay_ms = 120\nversion_ms = %d\nttl_max_s = 5\n", d.rolloutBound)
	fmt.Fprintf(&text, "[platform]\naddress = %q\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nmax_value_bytes = 1048576\n", d.address(storeHost, storePort))
	return text.String()
}

// start runs a program with the command of the deploy file.
func (d *deployment) start(role string, host int, service string) (*exec.Cmd, error) {
	settings := filepath.Join(d.directory, fmt.Sprintf("%s-%d.toml", role, host))
	if err := os.WriteFile(settings, []byte(d.settings(role, host, service)), 0o600); err != nil {
		return nil, err
	}
	output, err := os.OpenFile(settings+".out", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command("target/mimosaward-"+role, "--metrics-port", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSAWARD_BOOT=" + settings}
	command.Stdout, command.Stderr = output, output
	// The program must not outlive this one.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, command)
	d.record.add("%s-%d started", role, host)
	return command, nil
}

// awaitReady waits until a gateway is ready.
func (d *deployment) awaitReady(host int) error {
	for range 200 {
		response, err := http.Get("http://" + d.address(host, readyPort) + "/-/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Newf("gateway-%d is not ready", host)
}

// stop ends all processes that the deployment started.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, process := range d.processes {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_ = process.Wait()
	}
}
