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

// acknowledgingZones returns the zones that have acknowledged the ticket, separated
// by commas.
func acknowledgingZones(number int64, zones []string, acks []ticketstore.Ack) string {
	var acknowledged []string
	for _, zone := range zones {
		for _, ack := range acks {
			if ack.Zone == zone && ack.UpTo >= number {
				acknowledged = append(acknowledged, zone)
			}
		}
	}
	return strings.Join(acknowledged, ", ")
}

// printAcks prints for each zone whether it has acknowledged the ticket. A zone
// without a recent acknowledgement may be disconnected; its endpoints then refuse
// new work by themselves.
func (p *Program) printAcks(number int64, zones []string, acks []ticketstore.Ack) {
	table := tabwriter.NewWriter(p.Streams.Out, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "ZONE\tHOLDS\tACKNOWLEDGED")
	for _, zone := range zones {
		acknowledged, progress := "not yet", "never"
		for _, ack := range acks {
			if ack.Zone != zone {
				continue
			}
			progress = fmt.Sprintf("up to %d at %s", ack.UpTo, ack.At.Format(time.RFC3339))
			if ack.UpTo >= number {
				acknowledged = "yes"
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", zone, acknowledged, progress)
	}
}

// statusCommand shows the configuration and the instances.
type statusCommand struct {
	program *Program
}

// Execute implements flags.Commander.
func (s *statusCommand) Execute([]string) error {
	sess, err := s.program.openSession()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	loaded, err := sess.tickets.Load(ctx)
	if err != nil {
		return err
	}
	view, err := sess.refreshMembers(ctx)
	if err != nil {
		return err
	}
	acks, err := sess.tickets.Acks(ctx)
	if err != nil {
		return err
	}
	snapshot := (&desiredstate.Snapshot{}).With(loaded.Entries, loaded.UpTo)
	s.program.printf("newest ticket %d, in force: %t\n\n", loaded.UpTo, ticketstore.InForce(loaded.UpTo, view.Zones(), acks))
	s.program.printZones(snapshot, view, acks)
	s.program.printPools(snapshot, view)
	return nil
}

func (p *Program) printZones(snapshot *desiredstate.Snapshot, view *membership.View, acks []ticketstore.Ack) {
	table := tabwriter.NewWriter(p.Streams.Out, 0, 0, 2, ' ', 0)
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

func (p *Program) printPools(snapshot *desiredstate.Snapshot, view *membership.View) {
	table := tabwriter.NewWriter(p.Streams.Out, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "POOL\tKIND\tMODEL\tVERSION\tREQUIRED\tLIVE ENDPOINTS")
	for _, pool := range snapshot.Pools() {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\n", pool.Name, pool.Kind, pool.Model, pool.Version, pool.Replicas, len(view.Pool(pool.Name)))
	}
}
