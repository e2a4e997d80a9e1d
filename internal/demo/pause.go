package demo

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/duty"
	"github.com/mimosaward/mimosaward/internal/roster"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// pauseZone stops the clockwork of an entry and of every agent of the last
// zone, takes the zone out meanwhile, and lets them go on. What waited in their
// sockets must be refused, since they missed the ticket.
func (d *Demo) pauseZone(ctx context.Context) error {
	zone := d.Site.Places[len(d.Site.Places)-1].Zone
	paused := []*node{d.cluster.entries[0]}
	for _, agent := range d.cluster.agents {
		if agent.instance.AvailabilityZone == zone && agent.instance.Status == roster.Live {
			paused = append(paused, agent)
		}
	}
	if err := signal(paused, syscall.SIGSTOP); err != nil {
		return err
	}
	err := d.file("zone-out-paused", ticket.Ticket{Zones: []ticket.Zone{{Name: zone, InService: false}}})
	duty.Sleep(ctx, pauseLength)
	before, workErr := d.workIn(zone)
	if resumeErr := signal(paused, syscall.SIGCONT); err == nil {
		err = errors.CombineErrors(workErr, resumeErr)
	}
	if err != nil {
		return err
	}
	duty.Sleep(ctx, phase)
	after, err := d.workIn(zone)
	if err != nil {
		return err
	}
	d.report.pausedWork = after - before
	return d.returnZone(ctx, zone)
}

func signal(nodes []*node, what syscall.Signal) error {
	var err error
	for _, one := range nodes {
		err = errors.CombineErrors(err, errors.Wrapf(one.process.command.Process.Signal(what), "signal %s", one.instance.Name))
	}
	return err
}
