package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// evacuateAndRestoreZone takes the second zone out of service, counts the requests that its
// endpoints receive after the grace period, and takes it back into service.
func (d *Demo) evacuateAndRestoreZone(ctx context.Context) error {
	concurrency.Sleep(ctx, phaseDuration)
	zone := d.Site.Locations[1].Zone
	if err := d.fileTicket("zone-out", ticket.Ticket{Zones: []ticket.Zone{{Name: zone, InService: false}}}); err != nil {
		return err
	}
	concurrency.Sleep(ctx, zoneGracePeriod)
	var err error
	if d.report.outOfServiceRequests, err = d.countRequestsDuring(ctx, zone, func() error { return nil }); err != nil {
		return err
	}
	return d.restoreZone(ctx, zone)
}

// countRequestsDuring calls begin and counts the requests that the endpoints of a
// zone receive from then to the end of a phase.
func (d *Demo) countRequestsDuring(ctx context.Context, zone string, begin func() error) (int64, error) {
	before, err := d.requestsIn(zone)
	if err = errors.CombineErrors(err, begin()); err != nil {
		return 0, err
	}
	concurrency.Sleep(ctx, phaseDuration)
	after, err := d.requestsIn(zone)
	return after - before, err
}

// restoreZone takes a zone back into service and waits until its endpoints
// receive requests.
func (d *Demo) restoreZone(ctx context.Context, zone string) error {
	before, err := d.requestsIn(zone)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := d.fileTicket("zone-in", ticket.Ticket{Zones: []ticket.Zone{{Name: zone, InService: true}}}); err != nil {
		return err
	}
	return d.cluster.waitFor(ctx, "a request in the zone that is back in service", func() bool {
		requests, err := d.requestsIn(zone)
		d.report.zoneRestoreSeconds = max(d.report.zoneRestoreSeconds, time.Since(start).Seconds())
		return err == nil && requests > before
	})
}

// requestsIn returns the number of requests that the endpoints of a zone have
// received so far.
func (d *Demo) requestsIn(zone string) (int64, error) {
	var requests int64
	for _, agent := range d.cluster.agents {
		if agent.instance.AvailabilityZone != zone || agent.instance.Status != membership.Live {
			continue
		}
		if agent.instance.Pool == "drafting" {
			var counts fakes.EngineCounts
			if err := d.cluster.getJSON("http://"+agent.endpointAddress+"/counts", &counts); err != nil {
				return 0, err
			}
			requests += counts.ChatCompletions
			continue
		}
		var counts fakes.ServiceCounts
		if err := d.cluster.getJSON("http://"+agent.endpointAddress+"/counts", &counts); err != nil {
			return 0, err
		}
		for _, runs := range counts.Runs {
			requests += int64(runs)
		}
	}
	return requests, nil
}

// killInstances kills an entry and an agent without a drain. The instance list is
// updated a second later. A new agent replaces the old one for the same engine.
func (d *Demo) killInstances(ctx context.Context) error {
	entry := d.cluster.entries[0]
	agent := d.modelAgents()[0]
	d.cluster.kill(entry.process)
	d.cluster.kill(agent.process)
	concurrency.Sleep(ctx, time.Second)
	for _, n := range []*node{entry, agent} {
		if err := d.setStatus(n, membership.Gone); err != nil {
			return err
		}
	}
	location := Location{Zone: agent.instance.AvailabilityZone, Region: agent.instance.Region}
	if err := d.cluster.startAgent(agent.instance.Name+"-new", "drafting", "model", agent.endpointAddress, location); err != nil {
		return err
	}
	concurrency.Sleep(ctx, phaseDuration)
	return nil
}

// setStatus changes the status of an instance in the instance list. It removes
// entries that are gone from the cluster.
func (d *Demo) setStatus(n *node, status membership.Status) error {
	n.instance.Status = status
	if n.instance.Role == membership.EntryRole && status == membership.Gone {
		d.load.mu.Lock()
		for index, entry := range d.cluster.entries {
			if entry == n {
				d.cluster.entries = append(d.cluster.entries[:index:index], d.cluster.entries[index+1:]...)
				break
			}
		}
		d.load.mu.Unlock()
	}
	return d.cluster.updateInstance(n.instance)
}

// interruptObjectAPI makes the object API refuse all requests for a while, in
// which chat completions continue, and then lose a fifth of the responses to
// writes for a phase.
func (d *Demo) interruptObjectAPI(ctx context.Context) error {
	faults := "http://" + d.cluster.objectAPIAddress + "/faults"
	if err := d.cluster.put(faults, []byte(`{"down":true}`)); err != nil {
		return err
	}
	before := d.load.snapshot()
	concurrency.Sleep(ctx, outageDuration)
	after := d.load.snapshot()
	d.report.outageCompletions = after.completionsDone - before.completionsDone
	if err := d.cluster.put(faults, []byte(`{"loseAnswers":0.2}`)); err != nil {
		return err
	}
	concurrency.Sleep(ctx, phaseDuration)
	return d.cluster.put(faults, []byte(`{}`))
}

// stopInstances stops an entry and an agent gracefully under load.
func (d *Demo) stopInstances(ctx context.Context) error {
	before := d.load.snapshot()
	entry := d.cluster.entries[0]
	agents := d.modelAgents()
	agent := agents[len(agents)-1]
	for _, n := range []*node{entry, agent} {
		if err := d.setStatus(n, membership.Leaving); err != nil {
			return err
		}
		if err := d.cluster.stop(n.process); err != nil {
			return err
		}
		if err := d.setStatus(n, membership.Gone); err != nil {
			return err
		}
	}
	concurrency.Sleep(ctx, time.Second)
	after := d.load.snapshot()
	d.report.interruptedByStop = after.completionsUnknown - before.completionsUnknown + after.connectErrors - before.connectErrors
	return nil
}

// stopAll reads the final counts, then stops all processes gracefully.
func (d *Demo) stopAll() error {
	d.report.callCounts = d.load.snapshot()
	if err := d.checkRuns(); err != nil {
		return err
	}
	if err := d.recordMemory(); err != nil {
		return err
	}
	for _, n := range append(append([]*node{}, d.cluster.entries...), d.cluster.agents...) {
		if n.instance.Status != membership.Live {
			continue
		}
		if err := d.cluster.stop(n.process); err != nil {
			return err
		}
	}
	for _, proc := range d.cluster.processes {
		if err := d.cluster.stop(proc); err != nil {
			return err
		}
	}
	return nil
}

// checkRuns compares the calls that the endpoints ran with the outcomes that the
// callers received.
func (d *Demo) checkRuns() error {
	runs := map[string]int{}
	seen := map[string]bool{}
	for _, agent := range d.cluster.agents {
		if seen[agent.endpointAddress] {
			continue
		}
		seen[agent.endpointAddress] = true
		if agent.instance.Pool == "drafting" {
			var counts fakes.EngineCounts
			if err := d.cluster.getJSON("http://"+agent.endpointAddress+"/counts", &counts); err != nil {
				return err
			}
			d.report.overloads += counts.Overloads
			continue
		}
		var counts fakes.ServiceCounts
		if err := d.cluster.getJSON("http://"+agent.endpointAddress+"/counts", &counts); err != nil {
			return err
		}
		for key, count := range counts.Runs {
			runs[key] += count
		}
	}
	d.report.compareRuns(runs, d.load.outcomes)
	return nil
}

func (l *loadGenerator) snapshot() callCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.callCounts
}
