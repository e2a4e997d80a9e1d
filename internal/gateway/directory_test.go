package gateway

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/configuration"
)

// Guards against clients of a host whose routes have no region in common that are sent to a
// region in which none of its routes may run, as if the routes allowed all regions.
func TestHostRegions(t *testing.T) {
	cases := map[string]struct {
		routes [][]string
		want   []string
	}{
		"no route":                  {nil, nil},
		"no route restricts":        {[][]string{nil, nil}, nil},
		"one route restricts":       {[][]string{nil, {"a", "b"}}, []string{"a", "b"}},
		"routes overlap":            {[][]string{{"a", "b"}, nil, {"b", "c"}}, []string{"b"}},
		"no common region":          {[][]string{{"a"}, {"b"}}, []string{"a", "b"}},
		"a third route after those": {[][]string{{"a"}, {"b"}, {"a", "c"}}, []string{"a", "b", "c"}},
	}
	for name, c := range cases {
		var content configuration.Content
		for _, regions := range c.routes {
			content.Routes = append(content.Routes, configuration.Route{Host: "host", PathPrefix: "/", Regions: regions})
		}
		got := hostRegions(configuration.New(content), "host")
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: regions (-want +got):\n%s", name, diff)
		}
	}
}
