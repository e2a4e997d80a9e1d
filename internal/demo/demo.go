package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

const (
	chunkBytes                = 256 << 10
	weightSetBytes            = 16 << 20
	phaseDuration             = 4 * time.Second
	outageDuration            = 6 * time.Second
	pauseDuration             = 5 * time.Second
	zoneGracePeriod           = 3 * time.Second
	chatCallersPerLocation    = 6
	bookingCallersPerLocation = 2
)

// Demo runs the system under load and faults. Set the fields before Run.
type Demo struct {
	Site     Site
	Binaries string
	Out      io.Writer
	// KeepLogs keeps the log and settings files of all processes.
	KeepLogs bool
	// PrintMeasurements prints the measurements that docs/measurements.jsonl
	// records.
	PrintMeasurements bool

	cluster *cluster
	load    *loadGenerator
	report  report
}

// Run returns an error if a guarantee was violated or a step failed.
func (d *Demo) Run(ctx context.Context) error {
	directory, err := os.MkdirTemp("", "mimosaward-demo-")
	if err != nil {
		return err
	}
	if d.cluster, err = newCluster(d.Site, d.Binaries, directory); err != nil {
		return err
	}
	defer d.cluster.killAll()
	d.load = newLoadGenerator(d.cluster, d.Site)
	if err := d.runSteps(ctx); err != nil {
		return errors.Wrapf(err, "logs are in %s", directory)
	}
	if err := d.report.write(d.Out); err != nil {
		return errors.Wrapf(err, "logs are in %s", directory)
	}
	if d.PrintMeasurements {
		if err := d.writeMeasurements(); err != nil {
			return err
		}
	}
	if d.KeepLogs {
		_, _ = fmt.Fprintf(d.Out, "logs are in %s\n", directory)
		return nil
	}
	return os.RemoveAll(directory)
}

func (d *Demo) runSteps(ctx context.Context) error {
	callers := concurrency.NewGroup(ctx)
	defer callers.Wait()
	defer callers.Stop()
	steps := []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"start all processes", d.start},
		{"file the first tickets", d.fileInitialTickets},
		{"start the load", func(context.Context) error {
			d.load.run(callers, chatCallersPerLocation, bookingCallersPerLocation)
			return nil
		}},
		{"roll out a second version under load", func(ctx context.Context) error { return d.rollOut(ctx, "v2") }},
		{"take an availability zone out of service and back into service", d.evacuateAndRestoreZone},
		{"pause all processes of a zone while the zone is taken out of service", d.pauseZone},
		{"kill an entry and an agent", d.killInstances},
		{"make the object API unavailable", d.interruptObjectAPI},
		{"stop an entry and an agent gracefully under load", d.stopInstances},
		{"stop all processes gracefully", func(context.Context) error {
			callers.Stop()
			callers.Wait()
			return d.stopAll()
		}},
	}
	for _, step := range steps {
		if err := ctx.Err(); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(d.Out, "%s ...\n", step.name)
		if err := step.run(ctx); err != nil {
			return errors.Wrap(err, step.name)
		}
	}
	return nil
}

func (d *Demo) start(ctx context.Context) error {
	if err := d.cluster.startPlatform(ctx); err != nil {
		return err
	}
	locations := d.Site.Locations
	for index := range d.Site.Entries {
		if err := d.cluster.startEntry(fmt.Sprintf("entry-%d", index), locations[index%len(locations)]); err != nil {
			return err
		}
	}
	for _, location := range locations {
		for index := range d.Site.ModelsPerLocation {
			if err := d.cluster.startEndpoint(fmt.Sprintf("draft-%s-%d", location.Zone, index), "drafting", "model", location); err != nil {
				return err
			}
		}
		if err := d.cluster.startEndpoint(fmt.Sprintf("%s-%s", d.Site.Service, location.Zone), d.Site.Service, "service", location); err != nil {
			return err
		}
	}
	return d.cluster.waitFor(ctx, "readiness of every entry", func() bool {
		for _, entry := range d.cluster.entries {
			if status, _, err := d.cluster.call("GET", "http://"+entry.adminAddress+"/readyz", nil); err != nil || status != 200 {
				return false
			}
		}
		return true
	})
}

// fileTicket files a ticket with the command line of the operators.
func (d *Demo) fileTicket(name string, t ticket.Ticket) error {
	t.Operator = "demo"
	ticketFile, err := d.cluster.writeJSON("ticket-"+name, t)
	if err != nil {
		return err
	}
	settingsFile, err := d.cluster.writeJSON("operator", map[string]any{"operator": "demo", "platform": d.cluster.platformConfig()})
	if err != nil {
		return err
	}
	command := exec.Command(filepath.Join(d.Binaries, "mimosaward"), "--settings", settingsFile, "ticket", "file", ticketFile)
	output, err := command.CombinedOutput()
	_, _ = d.Out.Write(output)
	return errors.Wrapf(err, "file ticket %s", name)
}

func (d *Demo) fileInitialTickets(ctx context.Context) error {
	first := ticket.Ticket{Pools: []ticket.Pool{{Name: d.Site.Service, Kind: ticket.ServicePool}}}
	for index, workspace := range d.Site.Workspaces {
		first.Workspaces = append(first.Workspaces, ticket.Workspace{Name: workspace, Priority: index % (ticket.MaxPriority + 1), MaxShare: 60})
	}
	for _, location := range d.Site.Locations {
		first.Zones = append(first.Zones, ticket.Zone{Name: location.Zone, InService: true})
	}
	if err := d.fileTicket("first", first); err != nil {
		return err
	}
	return d.rollOut(ctx, "v1")
}

// rollOut publishes a version, files its ticket and waits until all replicas
// serve it.
func (d *Demo) rollOut(ctx context.Context, version string) error {
	body, err := json.Marshal(map[string]any{"model": "draft", "version": version, "chunkBytes": chunkBytes, "totalBytes": weightSetBytes})
	if err != nil {
		return err
	}
	status, response, err := d.cluster.call("POST", "http://"+d.cluster.originAddress+"/publish", body)
	if err != nil || status != 200 {
		return errors.Newf("publish %s: status %d: %v", version, status, err)
	}
	var published fakes.PublishResult
	if err := json.Unmarshal(response, &published); err != nil {
		return err
	}
	d.load.mu.Lock()
	d.load.contentDigests[published.Manifest] = published.Content
	d.load.mu.Unlock()
	before, err := d.originBytes()
	if err != nil {
		return err
	}
	start := time.Now()
	replicas := len(d.Site.Locations) * d.Site.ModelsPerLocation
	if err := d.fileTicket(version, ticket.Ticket{Pools: []ticket.Pool{{
		Name: "drafting", Kind: ticket.ModelPool, Model: "draft", Version: version,
		Manifest: published.Manifest.String(), Replicas: replicas, MaxSwapping: 3,
	}}}); err != nil {
		return err
	}
	if err := d.cluster.waitFor(ctx, "all replicas of "+version, func() bool { return d.allServing(published.Manifest.String()) }); err != nil {
		return err
	}
	after, err := d.originBytes()
	if err != nil {
		return err
	}
	d.report.rollouts = append(d.report.rollouts, rolloutReport{
		version: version, seconds: time.Since(start).Seconds(), copies: float64(after-before) / float64(published.Bytes),
	})
	return nil
}

func (d *Demo) originBytes() (int64, error) {
	var counts fakes.OriginCounts
	err := d.cluster.getJSON("http://"+d.cluster.originAddress+"/counts", &counts)
	return counts.ChunkBytes, err
}

// allServing reports whether every live model agent serves the weight set.
func (d *Demo) allServing(set string) bool {
	for _, agent := range d.modelAgents() {
		var page struct {
			Details struct {
				Set  string `json:"set"`
				Open bool   `json:"open"`
			} `json:"details"`
		}
		if err := d.cluster.getJSON("http://"+agent.adminAddress+"/status", &page); err != nil || page.Details.Set != set || !page.Details.Open {
			return false
		}
	}
	return true
}

func (d *Demo) modelAgents() []*node {
	var agents []*node
	for _, agent := range d.cluster.agents {
		if agent.instance.Pool == "drafting" && agent.instance.Status == membership.Live {
			agents = append(agents, agent)
		}
	}
	return agents
}
