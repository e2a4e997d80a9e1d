// Package engine describes a model engine: what it says of itself and how it
// takes orders. It only holds values; package platform speaks with engines.
package engine

import (
	"slices"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// Status is what an engine says of itself.
type Status struct {
	// Incarnation tells starts of the engine apart; it grows with each start.
	Incarnation int64
	// Weights are the models that the engine holds whole.
	Weights []clusterstate.ModelVersion
	// Busy is true while an order is carried out.
	Busy bool
	// Orders is the number of orders that began something since the start.
	Orders  int64
	Running int
	Waiting int
	// MemoryUsed is the part of Memory that requests need and cannot yield; both
	// count tokens of all layers.
	MemoryUsed int64
	Memory     int64
	// Pace is above 1 if the engine is slow.
	Pace float64
}

// Version returns the version of a model that the engine holds, 0 if none.
func (s *Status) Version(model string) int64 {
	for _, loaded := range s.Weights {
		if loaded.Model == model {
			return loaded.Version
		}
	}
	return 0
}

// Equal reports whether two statuses are the same, but for the engine's load.
func (s *Status) Equal(other Status) bool {
	return s.Incarnation == other.Incarnation && s.Busy == other.Busy && s.Pace == other.Pace && slices.Equal(s.Weights, other.Weights)
}

// LoadOrder asks an engine to load the weights that are staged.
type LoadOrder struct {
	Model   string
	Version int64
	// FencingToken is refused if it is lower than one that the engine has seen,
	// where engines check it.
	FencingToken int64
	// ExpectedOrders is the count that the engine must have.
	ExpectedOrders int64
}

// OrderResult is what became of an order.
type OrderResult int

// The results of orders.
const (
	// OrderUnknown means that there was no answer; the order may have been taken.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order began, or is in effect already.
	OrderAccepted
	// OrderMismatched means that the order does not fit the engine's state.
	OrderMismatched
	// OrderFenced means that the fencing token is too low.
	OrderFenced
	// OrderRejected means that the engine knows no such order or does not take it
	// from here.
	OrderRejected
)

// String returns the result as logs show it.
func (r OrderResult) String() string {
	return [...]string{"unknown", "taken", "mismatched", "fenced", "rejected"}[r]
}

// Manifest names the chunks of one version of a model.
type Manifest struct {
	Model      string
	Version    int64
	ChunkBytes int
	Digests    []string
}
