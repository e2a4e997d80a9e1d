// Package engine defines the status that a model engine reports and the orders
// that it accepts. It contains only values; package platform communicates with
// engines.
package engine

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// Status is the state that an engine reports.
type Status struct {
	// Incarnation identifies a start of the engine; it increases with each start.
	Incarnation int64
	// Weights are the model versions that the engine has loaded completely.
	Weights []clusterstate.ModelVersion
	// Layers are the layers that the engine has loaded, of one version.
	Layers LoadedLayers
	// Busy is true while the engine executes an order.
	Busy bool
	// Orders is the number of orders since the start that caused a change.
	Orders  int64
	Running int
	Waiting int
	// MemoryUsed is the part of Memory that requests need and that cannot be
	// reclaimed; both count tokens across all layers.
	MemoryUsed int64
	Memory     int64
	// Pace is the slowdown factor of the engine, above 1 if it is slow.
	Pace float64
	// ReadyIn is the time until the engine is expected to serve the weights that its loader
	// fetches for it, 0 if that is not known or the engine serves already. The loader adds it.
	ReadyIn time.Duration
}

// LoadedLayers are the layers of a version from From up to, but not including, To.
type LoadedLayers struct {
	From, To int
	Version  int64
}

// Version returns the version of a model that the engine has loaded, 0 if none.
func (s *Status) Version(model string) int64 {
	for _, loaded := range s.Weights {
		if loaded.Model == model {
			return loaded.Version
		}
	}
	return 0
}

// Equal reports whether two statuses are equal, ignoring the engine's load.
func (s *Status) Equal(other Status) bool {
	return s.Incarnation == other.Incarnation && s.Busy == other.Busy && s.Pace == other.Pace && slices.Equal(s.Weights, other.Weights)
}

// LoadOrder instructs an engine to hold the layers below To, or all if To is 0, and to load those
// that it lacks from the staged weights.
type LoadOrder struct {
	Model   string
	Version int64
	To      int
	// FencingToken is refused by engines that enforce fencing if it is lower than
	// one that the engine has seen.
	FencingToken int64
	// ExpectedOrders is the value that the engine's Status.Orders must have.
	ExpectedOrders int64
}

// OrderResult is the result of an order.
type OrderResult int

// Results of orders.
const (
	// OrderUnknown means that there was no response; the order may have been accepted.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order has started.
	OrderAccepted
	// OrderInEffect means that the engine has loaded the layers already.
	OrderInEffect
	// OrderMismatched means that the order does not match the engine's state.
	OrderMismatched
	// OrderFenced means that the fencing token is too low.
	OrderFenced
	// OrderRejected means that the engine does not support the order or does not
	// accept it from this sender.
	OrderRejected
)

// String returns the name of the result that logs use.
func (r OrderResult) String() string {
	return [...]string{"unknown", "taken", "inEffect", "mismatched", "fenced", "rejected"}[r]
}

// Manifest lists the chunks of one version of a model by their digests.
type Manifest struct {
	Model      string
	Version    int64
	ChunkBytes int
	Digests    []string
}
