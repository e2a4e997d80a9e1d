package peering_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// A source that falls silent after it has announced a change must not keep a gateway from
// fetching the change from another source.
func TestCopyIsFetchedFromAnotherSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, []int{3}, false)
		defer f.stopAll()
		f.startAll()
		readers := f.readers()
		if len(readers) != 2 {
			t.Fatalf("%d gateways read the object store, want 2", len(readers))
		}
		silent := readers[0]
		var reading *fleetGateway
		for _, g := range f.gateways {
			if g != readers[0] && g != readers[1] {
				reading = g
			}
		}
		var spread worst
		for range 8 {
			written := time.Now()
			revision := f.store.write(configurationKind, "main")
			for time.Since(written) < time.Second {
				if reading.peer(silent).Digest.Copies[configurationKind].Position.Revision >= revision {
					break
				}
				time.Sleep(time.Millisecond)
			}
			silent.silent.Store(true)
			f.measure(func(g *fleetGateway) bool { return g.hasObject(configurationKind, "main", revision) })
			spread.add(time.Since(written))
			silent.silent.Store(false)
			time.Sleep(3 * time.Second)
		}
		spread.require(t, "configuration, one source silent", configurationBound)
	})
}
