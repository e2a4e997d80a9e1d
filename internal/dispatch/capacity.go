package dispatch

import (
	"slices"
	"time"

	"github.com/mimosaward/mimosaward/internal/peering"
)

// capacities returns the slots of the endpoints that this gateway owns, by service. Plain
// services are not included, since all gateways share their endpoints.
func (d *Dispatcher) capacities(now time.Time) []peering.Capacity {
	var list []peering.Capacity
	for service, owners := range d.ownership {
		config, exists := d.Service(service)
		if !exists || config.Engine == nil || len(config.Engine.Models) == 0 || owners.owners == nil {
			continue
		}
		capacity := peering.Capacity{Service: service}
		model := config.Engine.Models[0]
		minVersion := d.MinVersion(model)
		for _, snapshot := range slices.Clone(d.snapshotEndpoints(config, now)) {
			version := snapshot.state.version(snapshot.endpoint, model, now)
			if !snapshot.ownedBySelf || version == 0 || version < minVersion {
				continue
			}
			slots := snapshot.endpoint.Slots
			if snapshot.limited {
				slots = min(slots, int(snapshot.state.limit.tokens))
			}
			if slots <= 0 {
				continue
			}
			capacity.Endpoints++
			capacity.Slots += slots
			capacity.PendingPrefill += snapshot.pendingPrefill
			if d.underColdRate(config, snapshot.state, now) && !snapshot.degraded {
				capacity.Free += max(0, min(slots, snapshot.endpoint.Slots-ownerReservedSlots-snapshot.running))
			}
		}
		list = append(list, capacity)
	}
	return list
}
