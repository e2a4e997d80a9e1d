package agent

import (
	"testing"

	"github.com/mimosaward/mimosaward/internal/weights"
)

// Guards against requests to an engine that lost its weights while a swap was about to begin
// that was then abandoned.
func TestAbandonedSwapAdmitsNothingForLostSet(t *testing.T) {
	set := weights.Sum([]byte("set"))
	cases := map[string]struct {
		lose   func(a *Agent)
		admits bool
	}{
		"kept":                {func(*Agent) {}, true},
		"lost":                {func(a *Agent) { a.served.markLost(set) }, false},
		"another set is lost": {func(a *Agent) { a.served.markLost(weights.Sum([]byte("other"))) }, true},
	}
	for name, c := range cases {
		a := &Agent{served: &servedSet{}}
		a.served.replace(set, 1)
		c.lose(a)
		a.served.suspend()
		a.resumeAdmission()
		if _, admitted := a.served.acquire(); admitted != c.admits {
			t.Errorf("%s: requests admitted %t after the abandoned swap, want %t", name, admitted, c.admits)
		}
		if c.admits {
			a.served.release()
		}
		a.served.replace(set, 2)
		if _, admitted := a.served.acquire(); !admitted {
			t.Errorf("%s: no request is admitted after the set was loaded", name)
		}
	}
}
