package system

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

var storeDown = fakes.ObjectFaults{Down: true}

const (
	// ticketBound is the deadline for a ticket to be in force in all processes.
	ticketBound = 10 * time.Second
	// zoneEvacuationBound is the time after which a zone taken out of service receives no requests.
	zoneEvacuationBound = 3 * time.Second
)

// requireNoRequests calls run and checks that the engines of a zone receive no request
// during it.
func (s *system) requireNoRequests(zone int, run func()) {
	s.t.Helper()
	before := s.zoneRequests(zone)
	run()
	if received := s.zoneRequests(zone) - before; received != 0 {
		s.t.Errorf("%s is out of service but received %d requests", zoneName(zone), received)
	}
}

// isolate disconnects a zone from the other zones and the platform.
func (s *system) isolate(zone int) {
	for _, name := range s.inZone(zone) {
		s.network.Disconnect(name, s.outsideZone(zone)...)
	}
}

func TestChatCompletionIsComplete(t *testing.T) {
	inBubble(t, func(s *system) {
		for entry := range zoneCount {
			if got := s.chatCompletion(entry); !got.complete {
				t.Errorf("chat completion at entry %d: %+v", entry, got)
			}
		}
	})
}

func TestOutOfServiceZoneReceivesNoRequests(t *testing.T) {
	inBubble(t, func(s *system) {
		s.setZoneInService(1, false)
		time.Sleep(zoneEvacuationBound)
		s.requireNoRequests(1, func() {
			for range 20 {
				if got := s.chatCompletion(1); !got.complete {
					t.Errorf("chat completion while the zone is out of service: %+v", got)
				}
			}
		})
		s.setZoneInService(1, true)
		time.Sleep(ticketBound)
		before := s.zoneRequests(1)
		for range 20 {
			s.chatCompletion(1)
		}
		if s.zoneRequests(1) == before {
			t.Error("zone received no requests after it was back in service")
		}
	})
}

// An entry that missed the ticket still sends requests to the zone. The test guards
// against agents that accept them.
func TestAgentsRejectRequestsOfAnEntryThatMissedTheTicket(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, name := range s.processNames {
			s.network.DisconnectControl("entry-1", name)
		}
		s.network.Disconnect("entry-1", "platform")
		s.setZoneInService(1, false)
		time.Sleep(zoneEvacuationBound)
		s.requireNoRequests(1, func() {
			for range 10 {
				s.chatCompletion(1)
			}
		})
	})
}

// A zone that is disconnected from the other zones and the store does not receive the
// ticket that takes it out. The test guards against the zone continuing to accept
// requests without a confirmed configuration.
func TestIsolatedZoneRejectsRequests(t *testing.T) {
	inBubble(t, func(s *system) {
		s.isolate(1)
		s.setZoneInService(1, false)
		time.Sleep(zoneEvacuationBound)
		s.requireNoRequests(1, func() {
			for range 5 {
				if got := s.chatCompletion(1); got.outcome != outcome.NotRun {
					t.Errorf("chat completion in the isolated zone: %+v", got)
				}
			}
		})
		for _, name := range s.inZone(1) {
			s.network.Reconnect(name, s.outsideZone(1)...)
		}
		time.Sleep(ticketBound)
		if got := s.chatCompletion(1); !got.complete {
			t.Errorf("chat completion after the zone was reconnected: %+v", got)
		}
	})
}

func TestStoreOutageKeepsServing(t *testing.T) {
	inBubble(t, func(s *system) {
		s.setZoneInService(2, false)
		time.Sleep(ticketBound)
		s.objects.SetFaults(storeDown)
		for range 30 {
			time.Sleep(2 * time.Second)
			if got := s.chatCompletion(0); !got.complete {
				t.Fatalf("chat completion during the outage: %+v", got)
			}
		}
		if received := s.zoneRequests(2); received != 0 {
			t.Errorf("zone taken out before the outage received %d requests", received)
		}
	})
}

// An agent starts with empty memory during a store outage. The test guards against
// accepting requests before it receives the newest configuration from its peers.
func TestRestartDuringOutageDoesNotRevert(t *testing.T) {
	inBubble(t, func(s *system) {
		s.setZoneInService(1, false)
		time.Sleep(ticketBound)
		s.objects.SetFaults(storeDown)
		for _, name := range []string{"draft-1-0", "entry-1"} {
			s.processes[name].stop()
			<-s.processes[name].done
		}
		s.startAgent("draft-1-0", "drafting", "model", 1)
		s.startEntry(1)
		s.requireNoRequests(1, func() {
			for range 20 {
				s.chatCompletion(1)
				time.Sleep(200 * time.Millisecond)
			}
		})
		if got := s.chatCompletion(1); !got.complete {
			t.Errorf("chat completion at the restarted entry: %+v", got)
		}
	})
}

// An agent is replaced while its zone is isolated. The test guards against a process
// that accepts requests with an empty configuration.
func TestRestartInIsolationRejectsRequests(t *testing.T) {
	inBubble(t, func(s *system) {
		s.isolate(1)
		s.setZoneInService(1, false)
		s.processes["draft-1-0"].stop()
		<-s.processes["draft-1-0"].done
		s.startAgent("draft-1-0", "drafting", "model", 1)
		time.Sleep(zoneEvacuationBound)
		s.requireNoRequests(1, func() {
			for range 10 {
				s.chatCompletion(1)
			}
		})
	})
}
