package loader_test

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/internal/loader"
)

// A gateway that has just started reads the configuration first. A plan without the wanted
// version or without the other instances would make every loader fetch the newest weights
// from the origin on its own.
func TestNewPlanRequiresCompleteState(t *testing.T) {
	current := configuration.New(configuration.Content{
		Version:  3,
		Services: []configuration.Service{{Name: "drafts", Engine: &configuration.Engine{Models: []string{"draft"}, Chunks: 8}}},
	})
	endpoint := clusterstate.Endpoint{ID: "a", Service: "drafts", Address: "10.0.0.1:80", AvailabilityZone: "aso-a", Region: "aso"}
	cases := map[string]struct {
		update   func(h *clusterstate.Store)
		complete bool
	}{
		"nothing": {update: func(*clusterstate.Store) {}},
		"endpoints": {update: func(h *clusterstate.Store) {
			h.SetEndpoints([]clusterstate.Endpoint{endpoint}, informer.Position{Revision: 7})
		}},
		"versions": {update: func(h *clusterstate.Store) { h.SetWantedVersions(map[string]int64{"draft": 2}) }},
		"both": {update: func(h *clusterstate.Store) {
			h.SetEndpoints(nil, informer.Position{Revision: 7})
			h.SetWantedVersions(map[string]int64{"draft": 2})
		}, complete: true},
		"no version set": {update: func(h *clusterstate.Store) {
			h.SetEndpoints(nil, informer.Position{Revision: 7})
			h.SetWantedVersions(map[string]int64{})
		}, complete: true},
	}
	for name, c := range cases {
		holder := clusterstate.NewStore()
		c.update(holder)
		_, complete := loader.NewPlan(current, holder.View(), "drafts", deployment.Ports{First: 1, Last: 2}, func(string, int64) time.Time { return time.Now() })
		if complete != c.complete {
			t.Errorf("%s: NewPlan returned %t, want %t", name, complete, c.complete)
		}
	}
}

// Guards against loaders that ignore the instances of a store that returned from an older copy
// of itself, because its revisions are lower.
func TestInstancesOfNextEraAreNewer(t *testing.T) {
	plan := loader.Plan{Members: loader.MembersPart{Position: informer.Position{Era: 2, Revision: 5}}}
	if _, newer := plan.NewerThan(loader.PlanVersions{Members: informer.Position{Era: 1, Revision: 9}}); !newer {
		t.Error("instances at a lower revision of the next era are ignored")
	}
	if _, newer := plan.NewerThan(loader.PlanVersions{Members: informer.Position{Era: 2, Revision: 9}}); newer {
		t.Error("older instances of the same era are used")
	}
}
