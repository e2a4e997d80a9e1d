package admission_test

import (
	"testing"
	"testing/synctest"

	"github.com/mimosaward/mimosaward/internal/admission"
)

// Guards against a response to a request from before the load of weights that ends the cold
// phase after it: the endpoint then receives its full limit while it is cold.
func TestResponseFromBeforeResetEndsNoColdPhase(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate()
		request := admission.Request{Priority: 2, MaxShare: 100}
		before, refusal := gate.Admit(request)
		if refusal != nil {
			t.Fatal(refusal.Reason)
		}
		gate.ResetToCold()
		before.RecordFirstByte()
		if !gate.Load().Cold {
			t.Error("a response to a request from before the reset ended the cold phase")
		}
		before.Release()
		warmUp(t, gate)
		if gate.Load().Cold {
			t.Error("a response to a request from after the reset did not end the cold phase")
		}
	})
}
