package clusterstate_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/informer"
)

// An endpoint that restarted under a new ID has two entries until the old one expires.
// Only the new entry may be used, because requests sent to the old one are refused.
func TestNewestEndpointAtAddressWins(t *testing.T) {
	store := clusterstate.NewStore()
	store.SetEndpoints([]clusterstate.Endpoint{
		{ID: "before", Incarnation: 1, Service: "drafts", Address: "10.0.0.1:80"},
		{ID: "after", Incarnation: 2, Service: "drafts", Address: "10.0.0.1:80"},
		{ID: "other", Incarnation: 1, Service: "drafts", Address: "10.0.0.2:80"},
		{ID: "reused", Incarnation: 3, Service: "booking", Address: "10.0.0.2:80"},
	}, informer.Position{Revision: 7})
	var got []string
	for _, service := range []string{"drafts", "booking"} {
		for _, endpoint := range store.View().ServiceEndpoints(service) {
			got = append(got, service+"/"+endpoint.ID)
		}
	}
	if diff := cmp.Diff([]string{"drafts/after", "booking/reused"}, got); diff != "" {
		t.Errorf("endpoints (-want +got):\n%s", diff)
	}
}
