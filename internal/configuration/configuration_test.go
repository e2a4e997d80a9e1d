package configuration_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

func ExampleConfiguration_Match() {
	current := configuration.New(configuration.Content{Version: 3, Routes: []configuration.Route{
		{Name: "all", Host: "aso.example", PathPrefix: "/"},
		{Name: "drafts", Host: "aso.example", PathPrefix: "/drafts/"},
	}})
	for _, path := range []string{"/drafts/new", "/drafts", "/status/"} {
		route, _ := current.Match("Aso.example:8080", path)
		fmt.Println(path, route.Name)
	}
	_, found := current.Match("other.example", "/drafts/")
	fmt.Println(found)
	// Output:
	// /drafts/new drafts
	// /drafts all
	// /status/ all
	// false
}

// Requests are distributed among the targets in proportion to their weights.
func TestPickTargetByWeight(t *testing.T) {
	route := configuration.Route{Targets: []configuration.Target{{Service: "old", Weight: 9}, {Service: "new", Weight: 1}}}
	got := map[string]int{}
	for step := range 100 {
		got[route.PickTarget(float64(step)/100)]++
	}
	if diff := cmp.Diff(map[string]int{"old": 90, "new": 10}, got); diff != "" {
		t.Errorf("requests for each target (-want +got):\n%s", diff)
	}
}

func TestStoreIfNewerIgnoresOlderVersions(t *testing.T) {
	var store configuration.Store
	var got []int64
	for _, version := range []int64{3, 7, 5, 7, 8} {
		store.StoreIfNewer(configuration.New(configuration.Content{Version: version}))
		got = append(got, store.Current().Version())
	}
	if diff := cmp.Diff([]int64{3, 7, 7, 7, 8}, got); diff != "" {
		t.Errorf("versions in effect (-want +got):\n%s", diff)
	}
}
