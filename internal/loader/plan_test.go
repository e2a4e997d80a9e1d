package loader_test

import (
	"testing"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/deployment"
	"github.com/mimosaward/mimosaward/internal/loader"
)

// A gateway that has just started knows the configuration first. A plan without the
// wanted version or without neighbours would make every loader ask the origin for the
// newest weights, alone.
func TestPlanWaitsForAllThatItDependsOn(t *testing.T) {
	current := configuration.New(configuration.Content{
		Version:  3,
		Services: []configuration.Service{{Name: "drafts", Engine: &configuration.Engine{Models: []string{"draft"}, Chunks: 8}}},
	})
	endpoint := clusterstate.Endpoint{ID: "a", Service: "drafts", Address: "10.0.0.1:80", AvailabilityZone: "aso-a", Region: "aso"}
	cases := map[string]struct {
		learn func(held *clusterstate.Holder)
		known bool
	}{
		"nothing":   {learn: func(*clusterstate.Holder) {}},
		"endpoints": {learn: func(held *clusterstate.Holder) { held.SetEndpoints([]clusterstate.Endpoint{endpoint}, 7) }},
		"versions":  {learn: func(held *clusterstate.Holder) { held.SetWantedVersions(map[string]int64{"draft": 2}) }},
		"both": {learn: func(held *clusterstate.Holder) {
			held.SetEndpoints(nil, 7)
			held.SetWantedVersions(map[string]int64{"draft": 2})
		}, known: true},
		"none is named": {learn: func(held *clusterstate.Holder) { held.SetEndpoints(nil, 7); held.SetWantedVersions(map[string]int64{}) }, known: true},
	}
	for name, c := range cases {
		held := clusterstate.NewHolder()
		c.learn(held)
		_, known := loader.NewPlan(current, held.View(), "drafts", deployment.Ports{First: 1, Last: 2}, func(string, int64) time.Time { return time.Now() })
		if known != c.known {
			t.Errorf("%s: plan known is %t, want %t", name, known, c.known)
		}
	}
}
