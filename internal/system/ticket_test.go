package system

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

var storeDown = fakes.ObjectFaults{Down: true}

const (
	// ticketBound is the time in which a ticket is in force everywhere.
	ticketBound = 10 * time.Second
	// zoneOutBound is the time after which a leaving zone gets no new work.
	zoneOutBound = 3 * time.Second
)

// requireNoWork runs something during which a zone's engines must get no request.
func (s *system) requireNoWork(zone int, run func()) {
	s.t.Helper()
	before := s.zoneRequests(zone)
	run()
	if received := s.zoneRequests(zone) - before; received != 0 {
		s.t.Errorf("%s, which takes no work, got %d requests", zoneName(zone), received)
	}
}

// isolate cuts a zone off from the others and the platform.
func (s *system) isolate(zone int) {
	for _, name := range s.inZone(zone) {
		s.network.Cut(name, s.outsideZone(zone)...)
	}
}

func TestChatCompletionIsComplete(t *testing.T) {
	inBubble(t, func(s *system) {
		for entry := range zones {
			if got := s.chatCompletion(entry); !got.complete {
				t.Errorf("draft at entry %d: %+v", entry, got)
			}
		}
	})
}

func TestZoneOutGetsNoNewWork(t *testing.T) {
	inBubble(t, func(s *system) {
		s.setZoneInService(1, false)
		time.Sleep(zoneOutBound)
		s.requireNoWork(1, func() {
			for range 20 {
				if got := s.chatCompletion(1); !got.complete {
					t.Errorf("draft while the zone is out: %+v", got)
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
			t.Error("zone that came back got no work")
		}
	})
}

// An entry that missed the ticket still sends work; the agents refuse it.
func TestAgentsRejectRequestsOfAnEntryThatMissedTheTicket(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, name := range s.processNames {
			s.network.CutControl("entry-1", name)
		}
		s.network.Cut("entry-1", "platform")
		s.setZoneInService(1, false)
		time.Sleep(zoneOutBound)
		s.requireNoWork(1, func() {
			for range 10 {
				s.chatCompletion(1)
			}
		})
	})
}

// A zone that is cut off from the others and the store cannot hear that it was
// taken out; it must stop by itself.
func TestIsolatedZoneStopsByItself(t *testing.T) {
	inBubble(t, func(s *system) {
		s.isolate(1)
		s.setZoneInService(1, false)
		time.Sleep(zoneOutBound)
		s.requireNoWork(1, func() {
			for range 5 {
				if got := s.chatCompletion(1); got.outcome != outcome.NotRun {
					t.Errorf("draft in the isolated zone: %+v", got)
				}
			}
		})
		for _, name := range s.inZone(1) {
			s.network.Heal(name, s.outsideZone(1)...)
		}
		time.Sleep(ticketBound)
		if got := s.chatCompletion(1); !got.complete {
			t.Errorf("draft after the cut: %+v", got)
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
				t.Fatalf("draft during the outage: %+v", got)
			}
		}
		if received := s.zoneRequests(2); received != 0 {
			t.Errorf("the zone taken out before the outage got %d requests", received)
		}
	})
}

// An agent that starts with empty memory during an outage must learn the
// newest configuration from others before it takes work.
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
		s.requireNoWork(1, func() {
			for range 20 {
				s.chatCompletion(1)
				time.Sleep(200 * time.Millisecond)
			}
		})
		if got := s.chatCompletion(1); !got.complete {
			t.Errorf("draft at the restarted entry: %+v", got)
		}
	})
}

// Every process of a zone is replaced while the zone is cut off: nothing may
// act on an empty configuration.
func TestRestartInIsolationRefusesWork(t *testing.T) {
	inBubble(t, func(s *system) {
		s.isolate(1)
		s.setZoneInService(1, false)
		s.processes["draft-1-0"].stop()
		<-s.processes["draft-1-0"].done
		s.startAgent("draft-1-0", "drafting", "model", 1)
		time.Sleep(zoneOutBound)
		s.requireNoWork(1, func() {
			for range 10 {
				s.chatCompletion(1)
			}
		})
	})
}
