package system

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/fakes"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

var standinDown = fakes.ObjectFaults{Down: true}

const (
	// ticketBound is the time in which a ticket is in force everywhere.
	ticketBound = 10 * time.Second
	// leaveBound is the time after which a leaving zone gets no new work.
	leaveBound = 3 * time.Second
)

// requireNoWork runs something during which a zone's engines must get no request.
func (s *system) requireNoWork(zone int, run func()) {
	s.t.Helper()
	before := s.work(zone)
	run()
	if work := s.work(zone) - before; work != 0 {
		s.t.Errorf("%s, which takes no work, got %d requests", zoneName(zone), work)
	}
}

// isolate cuts a zone off from the others and the platform.
func (s *system) isolate(zone int) {
	for _, name := range s.inZone(zone) {
		s.network.Disconnect(name, s.others(zone)...)
	}
}

func TestDraftIsWhole(t *testing.T) {
	inBubble(t, func(s *system) {
		for entry := range zones {
			if got := s.draft(entry); !got.whole {
				t.Errorf("draft at entry %d: %+v", entry, got)
			}
		}
	})
}

func TestZoneOutGetsNoNewWork(t *testing.T) {
	inBubble(t, func(s *system) {
		s.zone(1, false)
		time.Sleep(leaveBound)
		s.requireNoWork(1, func() {
			for range 20 {
				if got := s.draft(1); !got.whole {
					t.Errorf("draft while the zone is out: %+v", got)
				}
			}
		})
		s.zone(1, true)
		time.Sleep(ticketBound)
		before := s.work(1)
		for range 20 {
			s.draft(1)
		}
		if s.work(1) == before {
			t.Error("zone that came back got no work")
		}
	})
}

// An entry that missed the ticket still sends work; the agents refuse it.
func TestZoneOutIsKeptAgainstAnEntryThatMissedTheTicket(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, name := range s.names {
			s.network.DisconnectControl("entry-1", name)
		}
		s.network.Disconnect("entry-1", "platform")
		s.zone(1, false)
		time.Sleep(leaveBound)
		s.requireNoWork(1, func() {
			for range 10 {
				s.draft(1)
			}
		})
	})
}

// A zone that is cut off from the others and the store cannot hear that it was
// taken out; it must stop by itself.
func TestIsolatedZoneStopsByItself(t *testing.T) {
	inBubble(t, func(s *system) {
		s.isolate(1)
		s.zone(1, false)
		time.Sleep(leaveBound)
		s.requireNoWork(1, func() {
			for range 5 {
				if got := s.draft(1); got.outcome != outcome.NotRun {
					t.Errorf("draft in the isolated zone: %+v", got)
				}
			}
		})
		for _, name := range s.inZone(1) {
			s.network.Reconnect(name, s.others(1)...)
		}
		time.Sleep(ticketBound)
		if got := s.draft(1); !got.whole {
			t.Errorf("draft after the cut: %+v", got)
		}
	})
}

func TestStoreOutageKeepsServing(t *testing.T) {
	inBubble(t, func(s *system) {
		s.zone(2, false)
		time.Sleep(ticketBound)
		s.objects.SetFaults(standinDown)
		for range 30 {
			time.Sleep(2 * time.Second)
			if got := s.draft(0); !got.whole {
				t.Fatalf("draft during the outage: %+v", got)
			}
		}
		if work := s.work(2); work != 0 {
			t.Errorf("the zone taken out before the outage got %d requests", work)
		}
	})
}

// An agent that starts with empty memory during an outage must learn the
// newest configuration from others before it takes work.
func TestRestartDuringOutageDoesNotRevert(t *testing.T) {
	inBubble(t, func(s *system) {
		s.zone(1, false)
		time.Sleep(ticketBound)
		s.objects.SetFaults(standinDown)
		for _, name := range []string{"draft-1-0", "entry-1"} {
			s.nodes[name].stop()
			<-s.nodes[name].done
		}
		s.startAgent("draft-1-0", "drafting", "model", 1)
		s.startEntry(1)
		s.requireNoWork(1, func() {
			for range 20 {
				s.draft(1)
				time.Sleep(200 * time.Millisecond)
			}
		})
		if got := s.draft(1); !got.whole {
			t.Errorf("draft at the restarted entry: %+v", got)
		}
	})
}

// Every process of a zone is replaced while the zone is cut off: nothing may
// act on an empty configuration.
func TestRestartInIsolationRefusesWork(t *testing.T) {
	inBubble(t, func(s *system) {
		s.isolate(1)
		s.zone(1, false)
		s.nodes["draft-1-0"].stop()
		<-s.nodes["draft-1-0"].done
		s.startAgent("draft-1-0", "drafting", "model", 1)
		time.Sleep(leaveBound)
		s.requireNoWork(1, func() {
			for range 10 {
				s.draft(1)
			}
		})
	})
}
