package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mimosaward/mimosaward/internal/admission"
)

const coldLatency = 100 * time.Millisecond

func newGate() *admission.Gate {
	return &admission.Gate{WarmLimit: 20, ColdLimit: 2, ColdLatency: coldLatency}
}

// warmUp ends the gate's initial cold phase with one request whose response
// starts at once.
func warmUp(t *testing.T, gate *admission.Gate) {
	t.Helper()
	slot, refusal := gate.Admit(admission.Request{Priority: 2, MaxShare: 100})
	if refusal != nil {
		t.Fatal(refusal.Reason)
	}
	slot.RecordFirstByte()
	slot.Release()
}

// admitUntilRefused admits copies of the request, whose responses start at once,
// until one is refused. It returns the number admitted.
func admitUntilRefused(gate *admission.Gate, request admission.Request) int {
	for admitted := 0; ; admitted++ {
		slot, refusal := gate.Admit(request)
		if refusal != nil {
			return admitted
		}
		slot.RecordFirstByte()
	}
}

func ExampleGate() {
	gate := &admission.Gate{WarmLimit: 4, ColdLimit: 1, ColdLatency: time.Second}
	slot, _ := gate.Admit(admission.Request{Workspace: "aso-care", Priority: 2, MaxShare: 100})
	_, refusal := gate.Admit(admission.Request{Workspace: "aso-care", Priority: 2, MaxShare: 100})
	fmt.Println(refusal.Reason)
	slot.RecordFirstByte()
	_, refusal = gate.Admit(admission.Request{Workspace: "aso-care", Priority: 2, MaxShare: 100})
	fmt.Println(refusal == nil)
	// Output:
	// the endpoint has not begun to answer earlier requests
	// true
}

func TestLowPriorityIsShedFirst(t *testing.T) {
	for priority, want := range []int{16, 18, 20} {
		gate := newGate()
		warmUp(t, gate)
		if got := admitUntilRefused(gate, admission.Request{Priority: priority, MaxShare: 100}); got != want {
			t.Errorf("priority %d: %d requests admitted, want %d", priority, got, want)
		}
	}
}

func TestWorkspaceIsBoundedUnderContention(t *testing.T) {
	gate := newGate()
	warmUp(t, gate)
	largeWorkspace := admission.Request{Workspace: "large", Priority: 2, MaxShare: 50}
	if got := admitUntilRefused(gate, largeWorkspace); got != 15 {
		t.Errorf("only active workspace: %d requests admitted, want 15, the contention threshold", got)
	}
	if got := admitUntilRefused(gate, admission.Request{Workspace: "small", Priority: 2, MaxShare: 50}); got != 5 {
		t.Errorf("second workspace: %d requests admitted, want the remaining 5", got)
	}
}

func TestEndpointWithoutFirstByteTurnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate()
		warmUp(t, gate)
		if _, refusal := gate.Admit(admission.Request{Priority: 2, MaxShare: 100}); refusal != nil {
			t.Fatal(refusal.Reason)
		}
		time.Sleep(2 * coldLatency)
		if load := gate.Load(); !load.Cold {
			t.Errorf("endpoint sent no first byte for %s but is not cold: %+v", 2*coldLatency, load)
		}
	})
}

// Checks that the limit of a cold phase, which adds the cold limit to the
// requests in flight, does not exceed the warm limit.
func TestFullEndpointGetsNoMoreInColdStart(t *testing.T) {
	gate := newGate()
	warmUp(t, gate)
	admitted := admitUntilRefused(gate, admission.Request{Priority: 2, MaxShare: 100})
	gate.ReportCold()
	if got := admitUntilRefused(gate, admission.Request{Priority: 2, MaxShare: 100}); got != 0 {
		t.Errorf("endpoint with %d of %d requests in flight admitted %d more in a cold start", admitted, gate.WarmLimit, got)
	}
	if load := gate.Load(); load.Limit > gate.WarmLimit {
		t.Errorf("reported limit %d exceeds the warm limit of %d", load.Limit, gate.WarmLimit)
	}
}

// Checks that the assertions of the gate hold under random admissions, first
// bytes, releases, delays and cold reports.
func TestRandomizedGate(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			gate := newGate()
			gate.WarmLimit = gate.ColdLimit + random.IntN(20)
			var slots []*admission.Slot
			for range 2000 {
				switch random.IntN(6) {
				case 0, 1, 2:
					slot, refusal := gate.Admit(admission.Request{Workspace: fmt.Sprint(random.IntN(3)), Priority: random.IntN(3), MaxShare: 20 + random.IntN(80)})
					if refusal == nil {
						slots = append(slots, slot)
					}
				case 3:
					if len(slots) > 0 {
						slots[random.IntN(len(slots))].RecordFirstByte()
					}
				case 4:
					if len(slots) > 0 {
						index := random.IntN(len(slots))
						slots[index].Release()
						slots = append(slots[:index], slots[index+1:]...)
					}
				default:
					if random.IntN(10) == 0 {
						gate.ReportCold()
					}
				}
				time.Sleep(time.Duration(random.Int64N(int64(coldLatency / 4))))
			}
		})
	}
}

// Bounds the allocations of admission, which runs for every request.
func TestAdmitAllocations(t *testing.T) {
	gate := newGate()
	warmUp(t, gate)
	allocations := testing.AllocsPerRun(1000, func() {
		slot, _ := gate.Admit(admission.Request{Workspace: "aso-care", Priority: 2, MaxShare: 100})
		slot.RecordFirstByte()
		slot.Release()
	})
	if allocations > 1 {
		t.Errorf("one admission makes %g allocations, want at most 1, for the slot", allocations)
	}
}
