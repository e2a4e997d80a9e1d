package peering_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// unstableBound is how much longer a configuration may take while the object store is out of
// reach of some instances.
const unstableBound = 5 * time.Second

// testInBubble returns a test that runs in virtual time.
func testInBubble(test func(t *testing.T)) func(t *testing.T) {
	return func(t *testing.T) { synctest.Test(t, test) }
}

// inRegion returns the gateways of the region of another one.
func (f *runningFleet) inRegion(region string) []*fleetGateway {
	return slices.DeleteFunc(slices.Clone(f.gateways), func(g *fleetGateway) bool { return g.member.Region != region })
}

// readersOf returns the gateways of a region that read the object store.
func (f *runningFleet) readersOf(region string) []*fleetGateway {
	return slices.DeleteFunc(f.readers(), func(g *fleetGateway) bool { return g.member.Region != region })
}

// A configuration must reach every sound gateway within the bound although all readers of a
// region lose their network, or end, immediately before it is written: the others must not
// wait for gateways that are silent.
func TestConfigurationSpreadsWithoutReaders(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		f.startAll()
		var cut, ended worst
		for _, region := range []string{"region-0", "region-1"} {
			readers := f.readersOf(region)
			if len(readers) == len(f.inRegion(region)) {
				// Every other gateway reads the store itself.
				readers = readers[:1]
			}
			time.Sleep(130 * time.Millisecond)
			for _, reader := range readers {
				reader.cutOff()
			}
			revision := f.store.write(configurationKind, "main")
			cut.add(f.measure(func(g *fleetGateway) bool { return g.hasObject(configurationKind, "main", revision) }, readers...))
			for _, reader := range readers {
				reader.reconnect()
			}
			time.Sleep(3 * time.Second)
			f.endWatches()
			readers = f.readersOf(region)
			if len(readers) == len(f.inRegion(region)) {
				readers = readers[:1]
			}
			for _, reader := range readers {
				reader.stop()
			}
			revision = f.store.write(configurationKind, "main")
			ended.add(f.measure(func(g *fleetGateway) bool { return g.hasObject(configurationKind, "main", revision) }))
			for _, reader := range readers {
				reader.member.Incarnation++
				reader.start()
			}
			time.Sleep(2 * time.Second)
			f.endWatches()
		}
		cut.require(t, "configuration, readers of a region silent", configurationBound)
		ended.require(t, "configuration, readers of a region ended", configurationBound)
	})
}

// If the readers of a region are cut off from the object store alone, others must take over
// within the bound for an unstable store, and the copies must be complete after the cut.
func TestConfigurationSpreadsWhileReadersAreCutOff(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		f.startAll()
		var cut, healed worst
		readers := f.readersOf("region-1")
		for _, reader := range readers {
			f.store.cut(reader.member.Name, true)
		}
		revision := f.store.write(configurationKind, "main")
		alone := len(readers) == len(f.inRegion("region-1"))
		if !alone {
			cut.add(f.measure(func(g *fleetGateway) bool { return g.hasObject(configurationKind, "main", revision) }))
		}
		time.Sleep(time.Second)
		f.store.remove(endpointKind, "endpoint")
		time.Sleep(time.Second)
		for _, reader := range readers {
			f.store.cut(reader.member.Name, false)
		}
		healed.add(f.measure(func(g *fleetGateway) bool {
			return g.hasObject(configurationKind, "main", revision) && !g.hasObject(endpointKind, "endpoint", 1)
		}))
		cut.require(t, "configuration, readers of a region cut off from the store", configurationBound+unstableBound)
		healed.require(t, "copies after the cut", contactTime)
	})
}

// If open connections to the object store fall silent, which only a keep-alive probe shows,
// gateways take part again contactTime later. By then they must use what was confirmed in the
// meantime.
func TestConfigurationSpreadsAfterWatchesFallSilent(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		f.startAll()
		f.store.silenceWatches()
		silentAt := time.Now()
		time.Sleep(500 * time.Millisecond)
		revision := f.store.write(configurationKind, "main")
		f.measure(func(g *fleetGateway) bool { return g.hasObject(configurationKind, "main", revision) })
		var spread worst
		spread.add(time.Since(silentAt))
		spread.require(t, "configuration after watches fell silent", contactTime)
	})
}

// Guards against readers that wait for watches which a silent store accepted and never answers:
// all other gateways depend on a few readers.
func TestChangesSpreadAfterStoreFellSilent(t *testing.T) {
	forEachFleet(t, func(t *testing.T, f *runningFleet) {
		f.startAll()
		var spread worst
		for _, outage := range []time.Duration{900 * time.Millisecond, 2200 * time.Millisecond, 4 * time.Second, 8300 * time.Millisecond} {
			f.store.write(configurationKind, "main")
			added := f.store.write(endpointKind, "endpoint")
			time.Sleep(time.Second)
			f.store.write(configurationKind, "main")
			f.store.write(endpointKind, "other")
			time.Sleep(20 * time.Millisecond)
			f.store.setAnswersNobody(true)
			time.Sleep(outage)
			f.store.setAnswersNobody(false)
			endedAt := time.Now()
			time.Sleep(700 * time.Millisecond)
			revision := f.store.write(configurationKind, "main")
			f.store.remove(endpointKind, "endpoint")
			f.measure(func(g *fleetGateway) bool {
				return g.hasObject(configurationKind, "main", revision) && !g.hasObject(endpointKind, "endpoint", added)
			})
			spread.add(time.Since(endedAt))
		}
		spread.require(t, "changes after the store was silent", contactTime)
	})
}

// delegates returns the gateways of a cell that report to another one, which the rendezvous
// order of all its live gateways determines.
func (f *runningFleet) delegates(cells *peering.Cells, from, to string) []*fleetGateway {
	var members []*fleetGateway
	for _, g := range f.gateways {
		if cells.Of(g.member.Name) == from {
			members = append(members, g)
		}
	}
	score := func(g *fleetGateway) uint64 { return membership.Score("delegate/"+to, g.member.Name) }
	slices.SortFunc(members, func(a, b *fleetGateway) int { return cmp.Compare(score(b), score(a)) })
	return members
}

// While delegates of a cell fail, changes in that cell must still reach the other cells, and
// no gateway that runs may count as ended.
func TestReadinessSpreadsWhileDelegatesFail(t *testing.T) {
	for _, failing := range []int{1, 2} {
		t.Run(fmt.Sprint(failing, " delegates"), testInBubble(func(t *testing.T) {
			f := newFleet(t, largeFleet, false)
			defer f.stopAll()
			f.startAll()
			cells := f.gateways[0].table.Cells()
			names := cells.Names()
			from, to := names[0], names[len(names)-1]
			members := f.delegates(cells, from, to)
			failed, changed := members[:failing], members[len(members)-1]
			time.Sleep(70 * time.Millisecond)
			failedAt := time.Now()
			for _, g := range failed {
				g.cutOff()
			}
			changed.stopping.Store(true)
			var stopping worst
			stopping.add(f.measure(func(g *fleetGateway) bool { return !g.lists(changed) }, append(failed, changed)...))
			stopping.require(t, "stopping while delegates fail", contactTime)
			changed.stopping.Store(false)
			f.measure(func(g *fleetGateway) bool { return g.lists(changed) }, append(failed, changed)...)
			for range 40 {
				time.Sleep(measureResolution)
				for _, g := range f.gateways {
					listed := g.listed()
					for _, other := range f.gateways {
						if g != other && !slices.Contains(failed, g) && !slices.Contains(failed, other) && !listed[other.member.Name] {
							t.Fatalf("%s does not list %s, which runs", g.member.Name, other.member.Name)
						}
					}
				}
			}
			time.Sleep(endedBound - time.Since(failedAt))
			for _, g := range f.gateways {
				for _, other := range failed {
					if !slices.Contains(failed, g) && g.lists(other) {
						t.Errorf("%s lists %s, which does not respond", g.member.Name, other.member.Name)
					}
				}
			}
		}))
	}
}

// After a cut between two regions, the gateways of both must find each other again and agree,
// also if it lasted so long that they have forgotten each other.
func TestRegionsReconnectAfterCut(t *testing.T) {
	cases := []struct {
		regions []int
		cut     time.Duration
	}{{smallFleet, 5 * time.Second}, {smallFleet, 80 * time.Second}, {[]int{8, 8, 8}, 80 * time.Second}, {largeFleet, 5 * time.Second}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%v gateways for %v", c.regions, c.cut), testInBubble(func(t *testing.T) {
			f := newFleet(t, c.regions, false)
			defer f.stopAll()
			f.startAll()
			side := f.inRegion("region-1")
			var sideNames, otherNames []string
			for _, g := range f.gateways {
				if slices.Contains(side, g) {
					sideNames = append(sideNames, g.member.Name)
				} else {
					otherNames = append(otherNames, g.member.Name)
				}
			}
			for _, name := range sideNames {
				f.network.Freeze(name, otherNames...)
			}
			time.Sleep(time.Second)
			f.gateways[0].notReady.Store(true)
			revision := f.store.write(configurationKind, "main")
			var during, after worst
			during.add(f.measure(func(g *fleetGateway) bool { return g.hasObject(configurationKind, "main", revision) }))
			time.Sleep(c.cut)
			for _, name := range sideNames {
				f.network.Unfreeze(name, otherNames...)
			}
			after.add(f.measure(func(g *fleetGateway) bool {
				listed := g.listed()
				return !slices.ContainsFunc(f.gateways, func(other *fleetGateway) bool {
					return g != other && listed[other.member.Name] == (other == f.gateways[0])
				})
			}))
			during.require(t, "configuration during a cut between regions", configurationBound)
			after.require(t, "readiness after a cut between regions", contactTime)
		}))
	}
}

// A process that was suspended passes on what it knew before with an age that is too low,
// because its clock does not count the suspension. Gateways that ended meanwhile must not
// count as alive again.
func TestReportOfSuspendedGatewayRevivesNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, []int{8, 8, 8}, false)
		for index, g := range f.gateways {
			g.table = &peering.Table{Self: g.member, Start: time.Now()}
			for _, other := range f.gateways[:index] {
				other.table.AddMember(g.member)
				g.table.AddMember(other.member)
			}
		}
		receiver, ended := f.gateways[0], f.gateways[len(f.gateways)-1]
		cells := receiver.table.Cells()
		stale := peering.Report{Cell: cells.Of(ended.member.Name), Age: 100 * time.Millisecond, Summaries: []peering.Summary{{
			Name: ended.member.Name, Incarnation: 1, Ready: true,
		}}}
		suspended := peering.Digest{Member: cells.Members(cells.Of(receiver.member.Name))[1], Reports: []peering.Report{stale}}
		receiver.table.RecordDigest(suspended)
		if !receiver.lists(ended) {
			t.Fatal("a gateway that a report lists does not count as alive")
		}
		time.Sleep(endedBound)
		receiver.table.RecordDigest(suspended)
		if receiver.lists(ended) {
			t.Error("a gateway that ended counts as alive after the report of a suspended gateway")
		}
		f.store.close()
	})
}
