package demo

import (
	"context"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/pkg/ticket"
)

// pauseZone stops every entry and agent of the last zone, takes the zone out
// meanwhile, and lets them go on. What waited in their sockets must be refused,
// since they missed the ticket. The other zones are left alone: a paused reader
// keeps its zone from acknowledging the ticket.
func (d *Demo) pauseZone(ctx context.Context) error {
	zone := d.Site.Locations[len(d.Site.Locations)-1].Zone
	var paused []*node
	for _, running := range slices.Concat(d.cluster.entries, d.cluster.agents) {
		if running.instance.AvailabilityZone == zone && running.instance.Status == membership.Live {
			paused = append(paused, running)
		}
	}
	if err := signal(paused, syscall.SIGSTOP); err != nil {
		return err
	}
	err := d.file("zone-out-paused", ticket.Ticket{Zones: []ticket.Zone{{Name: zone, InService: false}}})
	concurrency.Sleep(ctx, pauseLength)
	resume := func() error { return signal(paused, syscall.SIGCONT) }
	work, workErr := d.workDuring(ctx, zone, resume)
	if err = errors.CombineErrors(err, workErr); err != nil {
		return err
	}
	d.report.pausedWork = work
	return d.returnZone(ctx, zone)
}

func signal(nodes []*node, what syscall.Signal) error {
	var err error
	for _, one := range nodes {
		err = errors.CombineErrors(err, errors.Wrapf(one.process.command.Process.Signal(what), "signal %s", one.instance.Name))
	}
	return err
}
