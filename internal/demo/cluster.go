// Package demo runs the whole system as separate processes on loopback
// addresses under load and faults, and checks the promises from outside. It is
// not part of the product.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/platformclient"
)

const (
	stopTimeout  = 40 * time.Second
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	originRate   = 24 << 20
	firstPort    = 20000
	lastPort     = 30000
)

// cluster is the running processes of the demo.
type cluster struct {
	site      Site
	binaries  string
	directory string
	http      platformclient.HTTPFunc

	objects   string
	instances string
	origin    string
	processes map[string]*child
	entries   []*node
	agents    []*node
	nextPort  int
}

// child is one process.
type child struct {
	name    string
	command *exec.Cmd
	// done is closed when the process ended; err is set before.
	done chan struct{}
	err  error
}

// node is one instance of the system with what runs on it.
type node struct {
	instance membership.Instance
	admin    string
	// endpoint is the base address of the endpoint beside an agent.
	endpoint string
	process  *child
	settings string
}

func newCluster(site Site, binaries, directory string) (*cluster, error) {
	c := &cluster{
		site: site, binaries: binaries, directory: directory, nextPort: firstPort, processes: map[string]*child{},
		http: platformclient.NewHTTP(func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }),
	}
	addresses, err := c.freeAddresses(3)
	if err != nil {
		return nil, err
	}
	c.objects, c.instances, c.origin = addresses[0], addresses[1], addresses[2]
	return c, nil
}

// freeAddresses returns loopback addresses that nothing listens on. The ports
// are below those that the system gives to outgoing connections, so none is
// taken before its process listens.
func (c *cluster) freeAddresses(count int) ([]string, error) {
	var addresses []string
	for len(addresses) < count {
		if c.nextPort > lastPort {
			return nil, errors.Newf("no free ports between %d and %d", firstPort, lastPort)
		}
		address := fmt.Sprintf("127.0.0.1:%d", c.nextPort)
		c.nextPort++
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := listener.Close(); err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// start runs a program with its output in a log file.
func (c *cluster) start(name, program string, args ...string) (*child, error) {
	log, err := os.Create(filepath.Join(c.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(c.binaries, program), args...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	started := &child{name: name, command: command, done: make(chan struct{})}
	c.processes[name] = started
	group := concurrency.NewGroup(context.Background())
	group.Go(func(context.Context) {
		started.err = command.Wait()
		close(started.done)
		_ = log.Close()
	})
	return started, nil
}

// kill ends a process at once, without a drain.
func (c *cluster) kill(target *child) {
	_ = target.command.Process.Kill()
	<-target.done
	delete(c.processes, target.name)
}

// stop asks a process to drain and returns its exit error.
func (c *cluster) stop(target *child) error {
	delete(c.processes, target.name)
	if err := target.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "stop %s", target.name)
	}
	select {
	case <-target.done:
		return errors.Wrapf(target.err, "stop %s", target.name)
	case <-time.After(stopTimeout):
		_ = target.command.Process.Kill()
		return errors.Newf("%s did not stop within %s", target.name, stopTimeout)
	}
}

// killAll ends every process that still runs.
func (c *cluster) killAll() {
	for _, running := range c.processes {
		_ = running.command.Process.Kill()
	}
}

// startPlatform runs the fakes of the platform.
func (c *cluster) startPlatform(ctx context.Context) error {
	_, err := c.start("platform", "mimosaward-standin", "platform",
		"--objects", c.objects, "--instances", c.instances, "--origin", c.origin, "--origin-rate", fmt.Sprint(originRate))
	if err != nil {
		return err
	}
	return c.await(ctx, "the platform", func() bool {
		status, _, err := c.call("GET", "http://"+c.origin+"/counts", nil)
		return err == nil && status == 200
	})
}

// startEntry runs one entry.
func (c *cluster) startEntry(name string, place Location) error {
	addresses, err := c.freeAddresses(3)
	if err != nil {
		return err
	}
	entry := &node{admin: addresses[2], instance: membership.Instance{
		Name: name, Role: membership.EntryRole, AvailabilityZone: place.Zone, Region: place.Region, Status: membership.Live,
		CallersAddress: addresses[0], ControlAddress: addresses[1],
	}}
	entry.settings, err = c.write(name, map[string]any{
		"instance": instanceSettings(name, place), "platform": c.platformSettings(),
		"callersAddress": addresses[0], "controlAddress": addresses[1], "adminAddress": addresses[2],
		"addressKeep": "2s", "drainTimeout": "20s",
	})
	if err != nil {
		return err
	}
	if entry.process, err = c.start(name, "mimosaward-entry", "--settings", entry.settings); err != nil {
		return err
	}
	c.entries = append(c.entries, entry)
	return c.list(entry.instance)
}

// startEndpoint runs an endpoint with an agent beside it.
func (c *cluster) startEndpoint(name, pool, kind string, place Location) error {
	addresses, err := c.freeAddresses(1)
	if err != nil {
		return err
	}
	program := "service"
	args := []string{}
	if kind == "model" {
		program = "engine"
		args = []string{"--warm-limit", "16", "--cold-limit", "2", "--cold-for", "500ms"}
	}
	args = append([]string{program, "--address", addresses[0]}, args...)
	if _, err := c.start(name+"-endpoint", "mimosaward-standin", args...); err != nil {
		return err
	}
	return c.startAgent(name, pool, kind, addresses[0], place)
}

// startAgent runs an agent beside the endpoint at the address.
func (c *cluster) startAgent(name, pool, kind, endpoint string, place Location) error {
	addresses, err := c.freeAddresses(3)
	if err != nil {
		return err
	}
	agent := &node{admin: addresses[2], endpoint: endpoint, instance: membership.Instance{
		Name: name, Role: membership.AgentRole, AvailabilityZone: place.Zone, Region: place.Region, Status: membership.Live,
		Pool: pool, WorkAddress: addresses[0], ControlAddress: addresses[1],
	}}
	agent.settings, err = c.write(name, map[string]any{
		"instance": instanceSettings(name, place), "platform": c.platformSettings(),
		"workAddress": addresses[0], "controlAddress": addresses[1], "adminAddress": addresses[2],
		"endpoint": map[string]any{
			"url": "http://" + endpoint, "pool": pool, "kind": kind,
			"warmLimit": 16, "coldLimit": 2, "coldLatency": "100ms",
		},
		"weights": map[string]any{
			"originUrl": "http://" + c.origin, "chunkMemory": "128MiB", "homeRegion": c.site.Locations[0].Region, "linkRate": "32MiB",
		},
		"drainTimeout": "20s",
	})
	if err != nil {
		return err
	}
	if agent.process, err = c.start(name, "mimosaward-agent", "--settings", agent.settings); err != nil {
		return err
	}
	c.agents = append(c.agents, agent)
	return c.list(agent.instance)
}

func instanceSettings(name string, place Location) map[string]any {
	return map[string]any{"name": name, "availabilityZone": place.Zone, "region": place.Region}
}

func (c *cluster) platformSettings() map[string]any {
	return map[string]any{"objectApi": "http://" + c.objects, "instanceList": "http://" + c.instances}
}

// write stores a settings file or a ticket.
func (c *cluster) write(name string, content any) (string, error) {
	text, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(c.directory, name+".json")
	return file, os.WriteFile(file, text, 0o600)
}

// list tells the instance list about an instance.
func (c *cluster) list(instance membership.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	return c.put("http://"+c.instances+"/instances", body)
}

func (c *cluster) put(url string, body []byte) error {
	status, text, err := c.call("PUT", url, body)
	if err == nil && status != 200 {
		err = errors.Newf("status %d: %s", status, text)
	}
	return errors.Wrapf(err, "PUT %s", url)
}

func (c *cluster) call(method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.http(ctx, method, url, body)
}

func (c *cluster) get(url string, answer any) error {
	status, text, err := c.call("GET", url, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return errors.Newf("GET %s: status %d", url, status)
	}
	return json.Unmarshal(text, answer)
}

// await polls until the condition holds or ctx ends.
func (c *cluster) await(ctx context.Context, what string, condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Newf("%s did not happen within %s", what, readyTimeout)
		}
		if !concurrency.Sleep(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), what)
		}
	}
	return nil
}
