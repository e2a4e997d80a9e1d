package relay

import (
	"fmt"
	"testing"

	"github.com/mimosaward/mimosaward/internal/membership"
)

// newView returns a view of live instances distributed evenly over zones.
func newView(count, zones int) *membership.View {
	var list []membership.Instance
	for index := range count {
		list = append(list, membership.Instance{
			Name: fmt.Sprintf("instance-%05d", index), Role: membership.AgentRole, Status: membership.Live,
			AvailabilityZone: fmt.Sprint("zone-", index%zones), Version: int64(index + 1),
		})
	}
	return membership.NewView().With(list, int64(count))
}

// Each process computes its parent independently. Together they must form one tree
// for each zone, in which no process has more children than its fan-out.
func TestTreeFanOutIsBounded(t *testing.T) {
	const zones = 2
	for _, count := range []int{2, 7, 40, 300} {
		view := newView(count, zones)
		children := map[string]int{}
		readers := map[string]bool{}
		for index := range count {
			self, _ := view.Instance(fmt.Sprintf("instance-%05d", index))
			position := computePosition(view, self)
			if position.reader {
				readers[self.Name] = true
				continue
			}
			parent := position.parents[0]
			if parent.AvailabilityZone != self.AvailabilityZone {
				t.Errorf("%s in %s has its parent in %s", self.Name, self.AvailabilityZone, parent.AvailabilityZone)
			}
			children[parent.Name]++
		}
		if want := min(count, zones*ReadersPerZone); len(readers) != want {
			t.Errorf("%d instances have %d readers, want %d", count, len(readers), want)
		}
		for name, got := range children {
			limit := FanOut
			if readers[name] {
				limit = ReaderFanOut
			}
			if got > limit {
				t.Errorf("%s has %d children, want at most %d", name, got, limit)
			}
		}
	}
}

// The position is looked up at each heartbeat and pull, so the lookup must not
// allocate while the instance list is unchanged.
func TestPositionIsComputedOncePerView(t *testing.T) {
	view := newView(300, 3)
	store := membership.NewStore()
	store.Merge(view.ChangedSince(0), view.Version())
	reader := rankZone(view, "zone-0")[0]
	relay := &Relay{Membership: store, Self: reader}
	if !relay.position().reader {
		t.Fatal("the first-ranked instance of its zone is not a reader")
	}
	if allocations := testing.AllocsPerRun(100, func() { relay.position() }); allocations > 0 {
		t.Errorf("looking up an unchanged position allocates %g times, want 0", allocations)
	}
	reader.Status, reader.Version = membership.Gone, view.Version()+1
	store.Merge([]membership.Instance{reader}, reader.Version)
	if position := relay.position(); position.reader || position.hasChildren {
		t.Errorf("position of a reader that is gone: got %+v, want a leaf", position)
	}
}

// A reader may confirm its zone only when every other reader must either have read
// an instance list that includes it or have stopped acknowledging tickets.
func TestSettleTimeCoversListMaxAge(t *testing.T) {
	if minimum := listMaxAge + listPollInterval; settleTime < minimum {
		t.Errorf("settle time is %s, but other readers may acknowledge without this one for %s", settleTime, minimum)
	}
}
