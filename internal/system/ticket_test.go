package system

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/standin"
	"github.com/mimosaward/mimosaward/pkg/outcome"
)

var standinDown = standin.ObjectFaults{Down: true}

const (
	// ticketBound is the time in which a ticket is in force everywhere.
	ticketBound = 10 * time.Second
	// leaveBound is the time after which a leaving zone gets no new work.
	leaveBound = 3 * time.Second
)

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
		before := s.work(1)
		for range 20 {
			if got := s.draft(1); !got.whole {
				t.Errorf("draft while the zone is out: %+v", got)
			}
		}
		if work := s.work(1) - before; work != 0 {
			t.Errorf("zone out of service got %d requests", work)
		}
		s.zone(1, true)
		time.Sleep(ticketBound)
		before = s.work(1)
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
			s.network.CutControl("entry-1", name)
		}
		s.network.Cut("entry-1", "platform")
		s.zone(1, false)
		time.Sleep(leaveBound)
		before := s.work(1)
		for range 10 {
			s.draft(1)
		}
		if work := s.work(1) - before; work != 0 {
			t.Errorf("zone out of service got %d requests from an entry that missed the ticket", work)
		}
	})
}

// A zone that is cut off from the others and the store cannot hear that it was
// taken out; it must stop by itself.
func TestIsolatedZoneStopsByItself(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, name := range s.inZone(1) {
			s.network.Cut(name, s.others(1)...)
		}
		s.zone(1, false)
		time.Sleep(leaveBound)
		before := s.work(1)
		for range 5 {
			if got := s.draft(1); got.outcome != outcome.NotRun {
				t.Errorf("draft in the isolated zone: %+v", got)
			}
		}
		if work := s.work(1) - before; work != 0 {
			t.Errorf("isolated zone got %d requests", work)
		}
		for _, name := range s.inZone(1) {
			s.network.Heal(name, s.others(1)...)
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
		before := s.work(1)
		for range 20 {
			s.draft(1)
			time.Sleep(200 * time.Millisecond)
		}
		if work := s.work(1) - before; work != 0 {
			t.Errorf("restarted processes brought %d requests to a zone out of service", work)
		}
		if got := s.draft(1); !got.whole {
			t.Errorf("draft at the restarted entry: %+v", got)
		}
	})
}

// Every process of a zone is replaced while the zone is cut off: nothing may
// act on an empty configuration.
func TestRestartInIsolationRefusesWork(t *testing.T) {
	inBubble(t, func(s *system) {
		for _, name := range s.inZone(1) {
			s.network.Cut(name, s.others(1)...)
		}
		s.zone(1, false)
		s.nodes["draft-1-0"].stop()
		<-s.nodes["draft-1-0"].done
		s.startAgent("draft-1-0", "drafting", "model", 1)
		time.Sleep(leaveBound)
		before := s.work(1)
		for range 10 {
			s.draft(1)
		}
		if work := s.work(1) - before; work != 0 {
			t.Errorf("isolated zone got %d requests after a restart", work)
		}
	})
}
