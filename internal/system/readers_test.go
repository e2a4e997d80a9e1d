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

// readers returns the readers of a zone and its other processes.
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

// kill stops processes and marks them as gone in the instance list.
func (s *system) kill(names []string) {
	for _, name := range names {
		s.processes[name].stop()
		<-s.processes[name].done
	}
	s.setListedStatus(membership.Gone, names)
}

// setListedStatus sets the status of processes in the instance list.
func (s *system) setListedStatus(status membership.Status, names []string) {
	for _, name := range names {
		instance := s.processes[name].instance
		instance.Status = status
		s.instances.Set(instance)
	}
}

// The readers of two zones acknowledge a ticket. Then one of these zones is isolated,
// and the readers of the other stop while the store is down. The test guards against
// their successors, which never received the ticket, confirming the freshness of
// their zone without it.
func TestNewReadersDoNotConfirmMissedTickets(t *testing.T) {
	inBubble(t, func(s *system) {
		readers, nonReaders := s.readers(2)
		// The other processes have been readers before, while the instance list marked
		// these as gone.
		s.setListedStatus(membership.Gone, readers)
		time.Sleep(ticketBound)
		s.setListedStatus(membership.Live, readers)
		time.Sleep(ticketBound)
		isolated := append(s.inZone(0), nonReaders...)
		for _, name := range isolated {
			s.network.Disconnect(name, append(append(s.inZone(1), readers...), "objects")...)
		}
		time.Sleep(zoneEvacuationBound)
		s.setZoneInService(0, false)
		time.Sleep(zoneEvacuationBound)
		acks, err := s.tickets.Acks(context.Background())
		if err != nil || !ticketstore.InForce(s.newestAcknowledged(), []string{zoneName(0), zoneName(1), zoneName(2)}, acks) {
			t.Fatalf("ticket is not in force: error %v, acknowledgements %+v", err, acks)
		}
		s.objects.SetFaults(storeDown)
		s.kill(readers)
		s.requireNoRequests(0, func() {
			for range 20 {
				time.Sleep(500 * time.Millisecond)
				if got := s.chatCompletion(0); got.outcome != outcome.NotRun {
					t.Errorf("chat completion in a zone that missed the ticket: %+v", got)
				}
			}
		})
	})
}

// Readers that cannot read the instance list may miss another reader. The test
// guards against their acknowledging a ticket; the ticket still takes effect.
func TestNoAcknowledgementWithoutTheInstanceList(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, name := range s.processNames {
			s.network.Disconnect(name, "instances")
		}
		time.Sleep(zoneEvacuationBound)
		before := s.newestAcknowledged()
		s.setZoneInService(1, false)
		time.Sleep(zoneEvacuationBound)
		if after := s.newestAcknowledged(); after != before {
			t.Errorf("ticket %d acknowledged without the instance list", after)
		}
		s.requireNoRequests(1, func() { s.chatCompletion(1) })
		for _, name := range s.processNames {
			s.network.Reconnect(name, "instances")
		}
		time.Sleep(zoneEvacuationBound)
		if s.newestAcknowledged() == before {
			t.Error("ticket not acknowledged after the instance list became available again")
		}
	})
}

// newestAcknowledged returns the newest ticket that any zone has acknowledged.
func (s *system) newestAcknowledged() int64 {
	s.t.Helper()
	acks, err := s.tickets.Acks(context.Background())
	if err != nil {
		s.t.Fatal(err)
	}
	return slices.MaxFunc(acks, func(a, b ticketstore.Ack) int { return int(a.UpTo - b.UpTo) }).UpTo
}
