package dispatch

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// Guards against a gateway that sends more requests than a limit allows after it has taken
// over the limit, or that never finds out that a limit of nothing has ended.
func TestRequestLimitPacesRequests(t *testing.T) {
	cases := map[string]struct {
		rate float64
		// least and most are the requests in the time after the gateway became the holder.
		during      time.Duration
		least, most int
	}{
		"nothing before the delay": {5, holderDelay, 0, 0},
		"usual":                    {5, 11 * time.Second, 49, 51},
		"less than one a second":   {0.25, 13 * time.Second, 2, 3},
		"nothing allowed":          {0, 31 * time.Second, 2, 3},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			var limit requestLimit
			sent := 0
			for elapsed := time.Duration(0); elapsed <= c.during; elapsed += 10 * time.Millisecond {
				limit.setHeld(true, c.rate, start.Add(elapsed))
				limit.refill(c.rate, start.Add(elapsed))
				if limit.untilToken(c.rate) == 0 {
					limit.tokens--
					sent++
				}
			}
			if sent < c.least || sent > c.most {
				t.Errorf("%d requests were sent in %v, want %d to %d", sent, c.during, c.least, c.most)
			}
		})
	}
}

// Guards against two holders of one limit: gateways with the same view of the fleet must agree
// on one, and a gateway that is about to stop must leave it to the others.
func TestOneGatewayHoldsRequestLimit(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	endpoint := clusterstate.Endpoint{ID: "booking-1", Incarnation: 1, Service: "booking", Slots: 4}
	holders := func(stopping string) map[string]int {
		count := map[string]int{}
		for _, name := range names {
			d := &Dispatcher{
				Self: peering.Member{Name: name}, Service: func(string) (*configuration.Service, bool) { return nil, false },
				FleetGateways: func() []string {
					var others []string
					for _, other := range names {
						if other != name && other != stopping {
							others = append(others, other)
						}
					}
					return others
				},
				Stopping: func() bool { return name == stopping },
			}
			count[d.limitHolder(&endpoint, nil)]++
		}
		return count
	}
	first := holders("")
	if len(first) != 1 {
		t.Fatalf("gateways consider %v as holders, want one", first)
	}
	for name := range first {
		second := holders(name)
		if len(second) != 1 || second[name] != 0 {
			t.Errorf("gateways consider %v as holders while %s stops, want one other gateway", second, name)
		}
	}
}

// Guards against a limit that a late record of another gateway restores after it ended, and
// against one that nobody confirms any more but that is kept for good.
func TestNewestAnnouncementHolds(t *testing.T) {
	start := time.Now()
	limited := clusterstate.Announcement{Limited: true, RequestRate: 2}
	var current announced
	current.record(1, limited, start, start)
	current.record(1, clusterstate.Announcement{}, start.Add(2*time.Second), start.Add(2*time.Second))
	if current.record(1, limited, start.Add(time.Second), start.Add(3*time.Second)) || current.Limited {
		t.Error("an older announcement replaced the end of the limit")
	}
	if !current.record(2, limited, start, start.Add(3*time.Second)) || !current.Limited {
		t.Error("the announcement of a later start was ignored")
	}
	if current.record(1, clusterstate.Announcement{}, start.Add(time.Minute), start.Add(time.Minute)) {
		t.Error("the announcement of an earlier start was used")
	}
	state := endpointState{announced: current}
	endpoint := clusterstate.Endpoint{ID: "booking-1", Incarnation: 2}
	if _, limited := state.limitOf(&endpoint, start.Add(4*time.Second)); !limited {
		t.Error("the limit is not in force")
	}
	if _, limited := state.limitOf(&endpoint, start.Add(4*time.Second+announcementMaxAge)); limited {
		t.Error("a limit that was not confirmed is still in force")
	}
}
