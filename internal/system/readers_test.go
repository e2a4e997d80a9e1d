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
func (s *system) readers(zone int) (readers, nonReaders []string) {
	var members []membership.Instance
	for _, name := range s.inZone(zone) {
		members = append(members, s.processes[name].instance)
	}
	for index, member := range membership.Rank("relay/"+zoneName(zone), members) {
		if index < relay.ReadersPerZone {
			readers = append(readers, member.Name)
		} else {
			nonReaders = append(nonReaders, member.Name)
		}
	}
	return readers, nonReaders
}

// kill stops processes and takes them off the instance list.
func (s *system) kill(names []string) {
	for _, name := range names {
		s.processes[name].stop()
		<-s.processes[name].done
	}
	s.setListedStatus(membership.Gone, names)
}

// setListedStatus sets what the instance setListedStatus says of processes.
func (s *system) setListedStatus(status membership.Status, names []string) {
	for _, name := range names {
		instance := s.processes[name].instance
		instance.Status = status
		s.instances.Set(instance)
	}
}

// A ticket was accepted by the readers of two zones. Then one of these zones is
// cut off and the readers of the other die while the store is down: the
// processes that take their place never saw the ticket, and must not vouch for
// their zone without it.
func TestNewReadersDoNotConfirmMissedTickets(t *testing.T) {
	inBubble(t, func(s *system) {
		readers, others := s.readers(2)
		// The others have been readers before, while the list left these out.
		s.setListedStatus(membership.Gone, readers)
		time.Sleep(ticketBound)
		s.setListedStatus(membership.Live, readers)
		time.Sleep(ticketBound)
		missed := append(s.inZone(0), others...)
		for _, name := range missed {
			s.network.Cut(name, append(append(s.inZone(1), readers...), "objects")...)
		}
		time.Sleep(zoneOutBound)
		s.setZoneInService(0, false)
		time.Sleep(zoneOutBound)
		acks, err := s.tickets.Acks(context.Background())
		if err != nil || !ticketstore.InForce(s.newestAcknowledged(), []string{zoneName(0), zoneName(1), zoneName(2)}, acks) {
			t.Fatalf("the ticket was not accepted: %v, %+v", err, acks)
		}
		s.objects.SetFaults(storeDown)
		s.kill(readers)
		s.requireNoWork(0, func() {
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				if got := s.chatCompletion(0); got.outcome != outcome.NotRun {
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
		for _, name := range s.processNames {
			s.network.Cut(name, "instances")
		}
		time.Sleep(zoneOutBound)
		before := s.newestAcknowledged()
		s.setZoneInService(1, false)
		time.Sleep(zoneOutBound)
		if after := s.newestAcknowledged(); after != before {
			t.Errorf("ticket %d was acknowledged without the instance list", after)
		}
		s.requireNoWork(1, func() { s.chatCompletion(1) })
		for _, name := range s.processNames {
			s.network.Heal(name, "instances")
		}
		time.Sleep(zoneOutBound)
		if s.newestAcknowledged() == before {
			t.Error("the ticket is not acknowledged after the list came back")
		}
	})
}

// newestAcknowledged returns the newest ticket that some zone newestAcknowledged.
func (s *system) newestAcknowledged() int64 {
	s.t.Helper()
	acks, err := s.tickets.Acks(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	return slices.MaxFunc(acks, func(a, b ticketstore.Ack) int { return int(a.UpTo - b.UpTo) }).UpTo
}
