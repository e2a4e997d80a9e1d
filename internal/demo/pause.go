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

// pauseZone pauses all entries and agents of the last zone, takes the zone out of
// service meanwhile, and resumes them. They must refuse the requests that waited
// in their sockets, since they missed the ticket. The other zones are not paused,
// because a paused reader keeps its zone from acknowledging the ticket.
func (d *Demo) pauseZone(ctx context.Context) error {
	zone := d.Site.Locations[len(d.Site.Locations)-1].Zone
	var paused []*node
	for _, n := range slices.Concat(d.cluster.entries, d.cluster.agents) {
		if n.instance.AvailabilityZone == zone && n.instance.Status == membership.Live {
			paused = append(paused, n)
		}
	}
	if err := sendSignal(paused, syscall.SIGSTOP); err != nil {
		return err
	}
	err := d.fileTicket("zone-out-paused", ticket.Ticket{Zones: []ticket.Zone{{Name: zone, InService: false}}})
	concurrency.Sleep(ctx, pauseDuration)
	resume := func() error { return sendSignal(paused, syscall.SIGCONT) }
	requests, requestsErr := d.countRequestsDuring(ctx, zone, resume)
	if err = errors.CombineErrors(err, requestsErr); err != nil {
		return err
	}
	d.report.pausedZoneRequests = requests
	return d.restoreZone(ctx, zone)
}

func sendSignal(nodes []*node, sig syscall.Signal) error {
	var err error
	for _, n := range nodes {
		err = errors.CombineErrors(err, errors.Wrapf(n.process.command.Process.Signal(sig), "signal %s", n.instance.Name))
	}
	return err
}
