package dispatch

import (
	"cmp"
	"slices"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/peering"
)

// ownerScoreKey is the key prefix of the rendezvous scores of owners.
const ownerScoreKey = "owner/"

// ownerPair is a possible assignment of an endpoint to a gateway, both given by their index.
type ownerPair struct {
	endpoint, gateway int
	sameZone          bool
	score             uint64
}

// assignFewEndpoints returns the owner of each endpoint if there are fewer endpoints than
// gateways. A gateway owns at most one endpoint, one of its own availability zone as long as
// there is one. The pair with the highest rendezvous score is assigned first, so that a gateway
// or endpoint that is added or removed changes only the assignments with lower scores that
// depend on it.
func assignFewEndpoints(endpoints []clusterstate.Endpoint, gateways []peering.Member) map[string]string {
	pairs := make([]ownerPair, 0, len(endpoints)*len(gateways))
	for endpointIndex := range endpoints {
		endpoint := &endpoints[endpointIndex]
		for gatewayIndex := range gateways {
			gateway := &gateways[gatewayIndex]
			pairs = append(pairs, ownerPair{
				endpoint: endpointIndex, gateway: gatewayIndex, sameZone: gateway.AvailabilityZone == endpoint.AvailabilityZone,
				score: membership.Score(ownerScoreKey+endpoint.ID, gateway.Name),
			})
		}
	}
	slices.SortFunc(pairs, func(a, b ownerPair) int {
		switch {
		case a.sameZone && !b.sameZone:
			return -1
		case b.sameZone && !a.sameZone:
			return 1
		default:
			return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(endpoints[a.endpoint].ID, endpoints[b.endpoint].ID), cmp.Compare(gateways[a.gateway].Name, gateways[b.gateway].Name))
		}
	})
	owners := make(map[string]string, len(endpoints))
	assigned := make([]bool, len(gateways))
	for _, pair := range pairs {
		id := endpoints[pair.endpoint].ID
		if assigned[pair.gateway] || owners[id] != "" {
			continue
		}
		owners[id], assigned[pair.gateway] = gateways[pair.gateway].Name, true
	}
	return owners
}
