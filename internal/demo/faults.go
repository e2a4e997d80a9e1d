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

// moveZone takes the second zone out of service, checks that its endpoints get
// no new work after the grace time, and brings it back.
func (d *Demo) moveZone(ctx context.Context) error {
	concurrency.Sleep(ctx, phase)
	zone := d.Site.Locations[1].Zone
	if err := d.file("zone-out", ticket.Ticket{Zones: []ticket.Zone{{Name: zone, InService: false}}}); err != nil {
		return err
	}
	concurrency.Sleep(ctx, zoneGrace)
	var err error
	if d.report.zoneWork, err = d.workDuring(ctx, zone, func() error { return nil }); err != nil {
		return err
	}
	return d.returnZone(ctx, zone)
}

// workDuring counts the requests that the endpoints of a zone get from begin to
// the end of a phase.
func (d *Demo) workDuring(ctx context.Context, zone string, begin func() error) (int64, error) {
	before, err := d.workIn(zone)
	if err = errors.CombineErrors(err, begin()); err != nil {
		return 0, err
	}
	concurrency.Sleep(ctx, phase)
	after, err := d.workIn(zone)
	return after - before, err
}

// returnZone brings a zone back and waits until it has work.
func (d *Demo) returnZone(ctx context.Context, zone string) error {
	before, err := d.workIn(zone)
	if err != nil {
		return err
	}
	start := time.Now()
	if err := d.file("zone-in", ticket.Ticket{Zones: []ticket.Zone{{Name: zone, InService: true}}}); err != nil {
		return err
	}
	return d.cluster.await(ctx, "work in the zone that came back", func() bool {
		work, err := d.workIn(zone)
		d.report.zoneBackSeconds = max(d.report.zoneBackSeconds, time.Since(start).Seconds())
		return err == nil && work > before
	})
}

// workIn counts the requests that the endpoints of a zone got so far.
func (d *Demo) workIn(zone string) (int64, error) {
	var work int64
	for _, agent := range d.cluster.agents {
		if agent.instance.AvailabilityZone != zone || agent.instance.Status != membership.Live {
			continue
		}
		if agent.instance.Pool == "drafting" {
			var counts fakes.EngineCounts
			if err := d.cluster.get("http://"+agent.endpoint+"/counts", &counts); err != nil {
				return 0, err
			}
			work += counts.ChatCompletions
			continue
		}
		var counts fakes.ServiceCounts
		if err := d.cluster.get("http://"+agent.endpoint+"/counts", &counts); err != nil {
			return 0, err
		}
		for _, runs := range counts.Runs {
			work += int64(runs)
		}
	}
	return work, nil
}

// kill ends an entry and an agent at once. The instance list learns it late;
// a new agent takes the place of the old one beside the same engine.
func (d *Demo) kill(ctx context.Context) error {
	entry := d.cluster.entries[0]
	agent := d.modelAgents()[0]
	d.cluster.kill(entry.process)
	d.cluster.kill(agent.process)
	concurrency.Sleep(ctx, time.Second)
	for _, gone := range []*node{entry, agent} {
		if err := d.leave(gone, membership.Gone); err != nil {
			return err
		}
	}
	place := Location{Zone: agent.instance.AvailabilityZone, Region: agent.instance.Region}
	if err := d.cluster.startAgent(agent.instance.Name+"-new", "drafting", "model", agent.endpoint, place); err != nil {
		return err
	}
	concurrency.Sleep(ctx, phase)
	return nil
}

// leave changes the status of an instance in the list.
func (d *Demo) leave(gone *node, status membership.Status) error {
	gone.instance.Status = status
	if gone.instance.Role == membership.EntryRole && status == membership.Gone {
		d.load.mu.Lock()
		for index, entry := range d.cluster.entries {
			if entry == gone {
				d.cluster.entries = append(d.cluster.entries[:index:index], d.cluster.entries[index+1:]...)
				break
			}
		}
		d.load.mu.Unlock()
	}
	return d.cluster.list(gone.instance)
}

// outage makes the object API refuse every call for a while. Drafts go on.
func (d *Demo) outage(ctx context.Context) error {
	faults := "http://" + d.cluster.objects + "/faults"
	if err := d.cluster.put(faults, []byte(`{"down":true}`)); err != nil {
		return err
	}
	before := d.load.snapshot()
	concurrency.Sleep(ctx, outageLength)
	after := d.load.snapshot()
	d.report.outageDrafts = after.draftsWhole - before.draftsWhole
	if err := d.cluster.put(faults, []byte(`{"loseAnswers":0.2}`)); err != nil {
		return err
	}
	concurrency.Sleep(ctx, phase)
	return d.cluster.put(faults, []byte(`{}`))
}

// stopSome stops an entry and an agent gracefully under load.
func (d *Demo) stopSome(ctx context.Context) error {
	before := d.load.snapshot()
	entry := d.cluster.entries[0]
	agents := d.modelAgents()
	agent := agents[len(agents)-1]
	for _, leaving := range []*node{entry, agent} {
		if err := d.leave(leaving, membership.Leaving); err != nil {
			return err
		}
		if err := d.cluster.stop(leaving.process); err != nil {
			return err
		}
		if err := d.leave(leaving, membership.Gone); err != nil {
			return err
		}
	}
	concurrency.Sleep(ctx, time.Second)
	after := d.load.snapshot()
	d.report.cutByStop = after.draftsUnknown - before.draftsUnknown + after.connectErrors - before.connectErrors
	return nil
}

// stopAll reads the final counts, then stops every process gracefully.
func (d *Demo) stopAll() error {
	d.report.tally = d.load.snapshot()
	if err := d.readRuns(); err != nil {
		return err
	}
	if err := d.readMemory(); err != nil {
		return err
	}
	for _, running := range append(append([]*node{}, d.cluster.entries...), d.cluster.agents...) {
		if running.instance.Status != membership.Live {
			continue
		}
		if err := d.cluster.stop(running.process); err != nil {
			return err
		}
	}
	for _, running := range d.cluster.processes {
		if err := d.cluster.stop(running); err != nil {
			return err
		}
	}
	return nil
}

// readRuns compares what the endpoints ran with what the callers were told.
func (d *Demo) readRuns() error {
	runs := map[string]int{}
	seen := map[string]bool{}
	for _, agent := range d.cluster.agents {
		if seen[agent.endpoint] {
			continue
		}
		seen[agent.endpoint] = true
		if agent.instance.Pool == "drafting" {
			var counts fakes.EngineCounts
			if err := d.cluster.get("http://"+agent.endpoint+"/counts", &counts); err != nil {
				return err
			}
			d.report.overloads += counts.Overloads
			continue
		}
		var counts fakes.ServiceCounts
		if err := d.cluster.get("http://"+agent.endpoint+"/counts", &counts); err != nil {
			return err
		}
		for key, count := range counts.Runs {
			runs[key] += count
		}
	}
	d.report.judgeRuns(runs, d.load.answers)
	return nil
}

func (l *load) snapshot() tally {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally
}
