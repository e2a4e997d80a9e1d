package loader

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/mimosaward/mimosaward/internal/weights"
)

// Guards against a manifest that replaces digests which were verified, and against a fetch that
// fails because the configuration changes the number of chunks meanwhile.
func TestVerifiedDigestsAreKept(t *testing.T) {
	chunk := func(name string) []byte { return []byte(name) }
	manifest := func(names ...string) *weights.Manifest {
		var digests []weights.Digest
		for _, name := range names {
			digests = append(digests, weights.Sum(chunk(name)))
		}
		made, _, err := weights.NewManifest("draft", "2", 64, digests)
		if err != nil {
			t.Fatal(err)
		}
		return made
	}
	present := manifest("a", "b", "wrong")
	cases := map[string]struct{ other, want *weights.Manifest }{
		"verified digests wrong in the other one": {manifest("x", "b", "c"), manifest("a", "b", "c")},
		"verified digests at other positions":     {manifest("b", "a", "c"), manifest("b", "a", "c")},
		"other number of chunks":                  {manifest("a", "b"), manifest("a", "b")},
		"equal":                                   {present, present},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			l := &Loader{store: weights.NewStore(1 << 20)}
			if err := l.store.Pin(present); err != nil {
				t.Fatal(err)
			}
			for _, name := range []string{"a", "b"} {
				if err := l.store.Put(weights.Sum(chunk(name)), chunk(name)); err != nil {
					t.Fatal(err)
				}
			}
			got, err := l.keepVerified(present, test.other)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(fmt.Sprint(test.want.Positions()), fmt.Sprint(got.Positions())); diff != "" {
				t.Errorf("digests (-want +got):\n%s", diff)
			}
		})
	}
}
