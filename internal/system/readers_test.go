package system

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/relay"
	"github.com/mimosaward/mimosaward/internal/ticketstore"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

// readers splits the processes of a zone into its readers and the others.
func (s *system) readers(zone int) (readers, others []string) {
	var members []membership.Instance
	for _, name := range s.inZone(zone) {
		members = append(members, s.nodes[name].instance)
	}
	for index, member := range membership.Rank("relay/"+zoneName(zone), members) {
		if index < relay.ReadersPerZone {
			readers = append(readers, member.Name)
		} else {
			others = append(others, member.Name)
		}
	}
	return readers, others
}

// kill stops processes and takes them off the instance list.
func (s *system) kill(names []string) {
	for _, name := range names {
		s.nodes[name].stop()
		<-s.nodes[name].done
	}
	s.list(membership.Gone, names)
}

// list sets what the instance list says of processes.
func (s *system) list(status membership.Status, names []string) {
	for _, name := range names {
		listed := s.nodes[name].instance
		listed.Status = status
		s.instances.Set(listed)
	}
}

// A ticket was accepted by the readers of two zones. Then one of these zones is
// cut off and the readers of the other die while the store is down: the
// processes that take their place never saw the ticket, and must not vouch for
// their zone without it.
func TestNewReadersDoNotVouchForWhatTheyMissed(t *testing.T) {
	inBubble(t, func(s *system) {
		readers, others := s.readers(2)
		// The others have been readers before, while the list left these out.
		s.list(membership.Gone, readers)
		time.Sleep(ticketBound)
		s.list(membership.Live, readers)
		time.Sleep(ticketBound)
		missed := append(s.inZone(0), others...)
		for _, name := range missed {
			s.network.Disconnect(name, append(append(s.inZone(1), readers...), "objects")...)
		}
		time.Sleep(leaveBound)
		s.zone(0, false)
		time.Sleep(leaveBound)
		acks, err := s.desk.Acks(context.Background())
		if err != nil || !ticketstore.InForce(s.acknowledged(), []string{zoneName(0), zoneName(1), zoneName(2)}, acks) {
			t.Fatalf("the ticket was not accepted: %v, %+v", err, acks)
		}
		s.objects.SetFaults(standinDown)
		s.kill(readers)
		s.requireNoWork(0, func() {
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				if got := s.draft(0); got.outcome != outcome.NotRun {
					t.Errorf("draft at a zone that missed the ticket: %+v", got)
				}
			}
		})
	})
}

// Readers that cannot read the instance list may not know of another reader, so
// they acknowledge nothing; the ticket is in force all the same.
func TestNoAcknowledgementWithoutTheInstanceList(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, name := range s.names {
			s.network.Disconnect(name, "instances")
		}
		time.Sleep(leaveBound)
		before := s.acknowledged()
		s.zone(1, false)
		time.Sleep(leaveBound)
		if after := s.acknowledged(); after != before {
			t.Errorf("ticket %d was acknowledged without the instance list", after)
		}
		s.requireNoWork(1, func() { s.draft(1) })
		for _, name := range s.names {
			s.network.Reconnect(name, "instances")
		}
		time.Sleep(leaveBound)
		if s.acknowledged() == before {
			t.Error("the ticket is not acknowledged after the list came back")
		}
	})
}

// acknowledged returns the newest ticket that some zone acknowledged.
func (s *system) acknowledged() int64 {
	s.t.Helper()
	acks, err := s.desk.Acks(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	return slices.MaxFunc(acks, func(a, b ticketstore.Ack) int { return int(a.UpTo - b.UpTo) }).UpTo
}
