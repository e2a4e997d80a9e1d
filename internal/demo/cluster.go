// Package demo runs the whole system as separate processes on loopback
// addresses under load and injected faults, and checks its guarantees from
// outside. It is not part of the product.
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

// cluster manages the processes of the demo.
type cluster struct {
	site      Site
	binaries  string
	directory string
	http      platformclient.RoundTripFunc

	objectAPIAddress    string
	instanceListAddress string
	originAddress       string
	processes           map[string]*process
	entries             []*node
	agents              []*node
	nextPort            int
}

// process is a running child process.
type process struct {
	name    string
	command *exec.Cmd
	// done is closed when the process has exited; err is set before that.
	done chan struct{}
	err  error
}

// node is an instance of the system with its process and its endpoint.
type node struct {
	instance     membership.Instance
	adminAddress string
	// endpointAddress is the address of the endpoint that an agent serves.
	endpointAddress string
	process         *process
	settingsPath    string
}

func newCluster(site Site, binaries, directory string) (*cluster, error) {
	c := &cluster{
		site: site, binaries: binaries, directory: directory, nextPort: firstPort, processes: map[string]*process{},
		http: platformclient.NewRoundTripFunc(func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }),
	}
	addresses, err := c.freeAddresses(3)
	if err != nil {
		return nil, err
	}
	c.objectAPIAddress, c.instanceListAddress, c.originAddress = addresses[0], addresses[1], addresses[2]
	return c, nil
}

// freeAddresses returns loopback addresses that no process listens on. The ports
// are below the ephemeral range of the operating system, so no outgoing
// connection takes one before its process listens.
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

// start runs a program and writes its output to a log file.
func (c *cluster) start(name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(c.directory, name+".log"))
	if err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(c.binaries, program), args...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	proc := &process{name: name, command: command, done: make(chan struct{})}
	c.processes[name] = proc
	group := concurrency.NewGroup(context.Background())
	group.Go(func(context.Context) {
		proc.err = command.Wait()
		close(proc.done)
		_ = log.Close()
	})
	return proc, nil
}

// kill kills a process without draining it.
func (c *cluster) kill(proc *process) {
	_ = proc.command.Process.Kill()
	<-proc.done
	delete(c.processes, proc.name)
}

// stop sends SIGTERM to a process, so that it drains, and returns its exit error.
// It kills a process that does not exit within stopTimeout.
func (c *cluster) stop(proc *process) error {
	delete(c.processes, proc.name)
	if err := proc.command.Process.Signal(syscall.SIGTERM); err != nil {
		return errors.Wrapf(err, "stop %s", proc.name)
	}
	select {
	case <-proc.done:
		return errors.Wrapf(proc.err, "stop %s", proc.name)
	case <-time.After(stopTimeout):
		_ = proc.command.Process.Kill()
		return errors.Newf("%s did not stop within %s", proc.name, stopTimeout)
	}
}

// killAll kills all running processes.
func (c *cluster) killAll() {
	for _, proc := range c.processes {
		_ = proc.command.Process.Kill()
	}
}

// startPlatform starts the fakes of the platform.
func (c *cluster) startPlatform(ctx context.Context) error {
	_, err := c.start("platform", "mimosaward-standin", "platform",
		"--objects", c.objectAPIAddress, "--instances", c.instanceListAddress, "--origin", c.originAddress, "--origin-rate", fmt.Sprint(originRate))
	if err != nil {
		return err
	}
	return c.waitFor(ctx, "readiness of the platform", func() bool {
		status, _, err := c.call("GET", "http://"+c.originAddress+"/counts", nil)
		return err == nil && status == 200
	})
}

// startEntry starts an entry.
func (c *cluster) startEntry(name string, location Location) error {
	addresses, err := c.freeAddresses(3)
	if err != nil {
		return err
	}
	entry := &node{adminAddress: addresses[2], instance: membership.Instance{
		Name: name, Role: membership.EntryRole, AvailabilityZone: location.Zone, Region: location.Region, Status: membership.Live,
		CallersAddress: addresses[0], ControlAddress: addresses[1],
	}}
	entry.settingsPath, err = c.writeJSON(name, map[string]any{
		"instance": instanceConfig(name, location), "platform": c.platformConfig(),
		"callersAddress": addresses[0], "controlAddress": addresses[1], "adminAddress": addresses[2],
		"addressKeep": "2s", "drainTimeout": "20s",
	})
	if err != nil {
		return err
	}
	if entry.process, err = c.start(name, "mimosaward-entry", "--settings", entry.settingsPath); err != nil {
		return err
	}
	c.entries = append(c.entries, entry)
	return c.updateInstance(entry.instance)
}

// startEndpoint starts an endpoint and its agent.
func (c *cluster) startEndpoint(name, pool, kind string, location Location) error {
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
	return c.startAgent(name, pool, kind, addresses[0], location)
}

// startAgent starts an agent for the endpoint at the address.
func (c *cluster) startAgent(name, pool, kind, endpointAddress string, location Location) error {
	addresses, err := c.freeAddresses(3)
	if err != nil {
		return err
	}
	agent := &node{adminAddress: addresses[2], endpointAddress: endpointAddress, instance: membership.Instance{
		Name: name, Role: membership.AgentRole, AvailabilityZone: location.Zone, Region: location.Region, Status: membership.Live,
		Pool: pool, WorkAddress: addresses[0], ControlAddress: addresses[1],
	}}
	agent.settingsPath, err = c.writeJSON(name, map[string]any{
		"instance": instanceConfig(name, location), "platform": c.platformConfig(),
		"workAddress": addresses[0], "controlAddress": addresses[1], "adminAddress": addresses[2],
		"endpoint": map[string]any{
			"url": "http://" + endpointAddress, "pool": pool, "kind": kind,
			"warmLimit": 16, "coldLimit": 2, "coldLatency": "100ms",
		},
		"weights": map[string]any{
			"originUrl": "http://" + c.originAddress, "chunkMemory": "128MiB", "homeRegion": c.site.Locations[0].Region, "linkRate": "32MiB",
		},
		"drainTimeout": "20s",
	})
	if err != nil {
		return err
	}
	if agent.process, err = c.start(name, "mimosaward-agent", "--settings", agent.settingsPath); err != nil {
		return err
	}
	c.agents = append(c.agents, agent)
	return c.updateInstance(agent.instance)
}

func instanceConfig(name string, location Location) map[string]any {
	return map[string]any{"name": name, "availabilityZone": location.Zone, "region": location.Region}
}

func (c *cluster) platformConfig() map[string]any {
	return map[string]any{"objectApi": "http://" + c.objectAPIAddress, "instanceList": "http://" + c.instanceListAddress}
}

// writeJSON writes a settings file or a ticket and returns its path.
func (c *cluster) writeJSON(name string, content any) (string, error) {
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(c.directory, name+".json")
	return file, os.WriteFile(file, data, 0o600)
}

// updateInstance sends the state of an instance to the instance list.
func (c *cluster) updateInstance(instance membership.Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return err
	}
	return c.put("http://"+c.instanceListAddress+"/instances", body)
}

func (c *cluster) put(url string, body []byte) error {
	status, data, err := c.call("PUT", url, body)
	if err == nil && status != 200 {
		err = errors.Newf("status %d: %s", status, data)
	}
	return errors.Wrapf(err, "PUT %s", url)
}

func (c *cluster) call(method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.http(ctx, method, url, body)
}

func (c *cluster) getJSON(url string, response any) error {
	status, data, err := c.call("GET", url, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return errors.Newf("GET %s: status %d", url, status)
	}
	return json.Unmarshal(data, response)
}

// waitFor polls until the condition is true. It returns an error after
// readyTimeout or when ctx is done.
func (c *cluster) waitFor(ctx context.Context, description string, condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.Newf("timed out waiting for %s after %s", description, readyTimeout)
		}
		if !concurrency.Sleep(ctx, pollInterval) {
			return errors.Wrap(ctx.Err(), description)
		}
	}
	return nil
}
