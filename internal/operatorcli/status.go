package operatorcli

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
)

// holders lists the zones that acknowledged the ticket.
func holders(number int64, zones []string, acks []ticketstore.Ack) string {
	var holding []string
	for _, zone := range zones {
		for _, ack := range acks {
			if ack.Zone == zone && ack.UpTo >= number {
				holding = append(holding, zone)
			}
		}
	}
	return strings.Join(holding, ", ")
}

// showAcks tells for each zone whether it holds the ticket. A zone that is
// silent may be cut off; its endpoints refuse new work by themselves then.
func (o *Program) showAcks(number int64, zones []string, acks []ticketstore.Ack) {
	table := tabwriter.NewWriter(o.Streams.Out, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "ZONE\tHOLDS\tACKNOWLEDGED")
	for _, zone := range zones {
		holds, when := "not yet", "never"
		for _, ack := range acks {
			if ack.Zone != zone {
				continue
			}
			when = fmt.Sprintf("up to %d at %s", ack.UpTo, ack.At.Format(time.RFC3339))
			if ack.UpTo >= number {
				holds = "yes"
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", zone, holds, when)
	}
}

// status shows the configuration and the instances.
type status struct {
	operator *Program
}

// Execute implements flags.Commander.
func (s *status) Execute([]string) error {
	opened, err := s.operator.open()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	loaded, err := opened.desk.Load(ctx)
	if err != nil {
		return err
	}
	view, err := opened.view(ctx)
	if err != nil {
		return err
	}
	acks, err := opened.desk.Acks(ctx)
	if err != nil {
		return err
	}
	snapshot := (&desiredstate.Snapshot{}).With(loaded.Entries, loaded.UpTo)
	s.operator.printf("newest ticket %d, in force: %t\n\n", loaded.UpTo, ticketstore.InForce(loaded.UpTo, view.Zones(), acks))
	s.operator.showZones(snapshot, view, acks)
	s.operator.showPools(snapshot, view)
	return nil
}

func (o *Program) showZones(snapshot *desiredstate.Snapshot, view *membership.View, acks []ticketstore.Ack) {
	table := tabwriter.NewWriter(o.Streams.Out, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "ZONE\tIN SERVICE\tACKNOWLEDGED")
	for _, zone := range view.Zones() {
		upTo := int64(0)
		for _, ack := range acks {
			if ack.Zone == zone {
				upTo = ack.UpTo
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%t\t%d\n", zone, snapshot.ZoneInService(zone), upTo)
	}
	_, _ = fmt.Fprintln(table)
}

func (o *Program) showPools(snapshot *desiredstate.Snapshot, view *membership.View) {
	table := tabwriter.NewWriter(o.Streams.Out, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "POOL\tKIND\tMODEL\tVERSION\tREQUIRED\tLIVE ENDPOINTS")
	for _, pool := range snapshot.Pools() {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", pool.Name, pool.Kind, pool.Model, pool.Version, pool.Replicas, len(view.Pool(pool.Name)))
	}
}
