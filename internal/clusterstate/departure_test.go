package clusterstate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/informer"
)

// The time since which an endpoint is draining or gone is that of the first notice, and an endpoint
// whose entry only lapsed has none.
func TestDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, start := clusterstate.NewStore(), time.Now()
		drained := clusterstate.Endpoint{ID: "drained", Incarnation: 1, Service: "booking", Address: "10.0.0.1:80"}
		lapsed := clusterstate.Endpoint{ID: "lapsed", Incarnation: 1, Service: "booking", Address: "10.0.0.2:80"}
		restarted := clusterstate.Endpoint{ID: "restarted", Incarnation: 1, Service: "booking", Address: "10.0.0.3:80"}
		again := restarted
		again.Incarnation = 2
		draining := drained
		draining.Draining = true
		for revision, endpoints := range [][]clusterstate.Endpoint{
			{drained, lapsed, restarted}, {draining, lapsed, restarted}, {draining, again}, {lapsed, again}, {lapsed, again},
		} {
			store.SetEndpoints(endpoints, informer.Position{Revision: int64(revision)})
			time.Sleep(time.Second)
		}
		got := map[string]time.Duration{}
		for name, endpoint := range map[string]clusterstate.Endpoint{"drained": drained, "lapsed": lapsed, "restarted": restarted, "again": again} {
			if since := store.View().DepartedSince(&endpoint); !since.IsZero() {
				got[name] = since.Sub(start)
			}
		}
		want := map[string]time.Duration{"drained": time.Second, "restarted": 2 * time.Second}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("departures after the first list (-want +got):\n%s", diff)
		}
		time.Sleep(2 * time.Minute)
		store.SetEndpoints([]clusterstate.Endpoint{lapsed, again}, informer.Position{Revision: 9})
		if since := store.View().DepartedSince(&drained); !since.IsZero() {
			t.Errorf("the departure of %s is remembered for good", drained.ID)
		}
	})
}
