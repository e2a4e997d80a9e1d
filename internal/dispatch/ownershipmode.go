package dispatch

import (
	"slices"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// ownershipMode is what the owners of a service's endpoints depend on besides the endpoints
// and the gateways.
type ownershipMode struct {
	// shared is true if the endpoints have no owners while there are fewer endpoints than
	// gateways, because their service has no models and its owners report no capacity.
	shared bool
	// leaving names this gateway if it is about to stop. The other gateways then assign the
	// endpoints without it.
	leaving string
}

// assign returns the owner of each endpoint, and whether only the owners may send requests.
func (m ownershipMode) assign(endpoints []clusterstate.Endpoint, gateways []peering.Member) (owners map[string]string, exclusive bool) {
	if len(endpoints) >= len(gateways) {
		return assignOwners(endpoints, gateways), false
	}
	if m.shared {
		return nil, false
	}
	if len(endpoints) == 0 {
		return map[string]string{}, false
	}
	remaining := slices.DeleteFunc(slices.Clone(gateways), func(gateway peering.Member) bool { return gateway.Name == m.leaving })
	switch {
	case len(remaining) == 0:
		// The other gateways, if there are any, are not ready either.
		remaining = gateways
	case len(endpoints) >= len(remaining):
		// Without this gateway there are enough endpoints for each one. It has none.
		return assignOwners(endpoints, remaining), false
	}
	return assignFewEndpoints(endpoints, remaining), true
}

// ownershipMode returns the current mode of a service.
func (d *Dispatcher) ownershipMode(service string) ownershipMode {
	config, exists := d.Service(service)
	mode := ownershipMode{shared: !exists || config.Engine == nil || len(config.Engine.Models) == 0}
	if d.stopping() {
		mode.leaving = d.Self.Name
	}
	return mode
}
