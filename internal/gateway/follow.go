package gateway

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fleet"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/platform"
)

// settle is the pause in which changes in quick succession are gathered. It is well
// below every bound in which a change must be in force.
const settle = 100 * time.Millisecond

// informers follow what the operators and the endpoints write.
func (g *Gateway) informers() []*informer.Informer {
	return []*informer.Informer{
		g.informer(platform.KindConfiguration, g.applyConfiguration),
		g.informer(platform.KindEndpoints, g.applyEndpoints),
		g.informer(platform.KindEvacuations, g.applyEvacuations),
		g.informer(platform.KindRollouts, g.applyRollouts),
		g.informer(gatewayKind, g.gateways.apply),
	}
}

func (g *Gateway) informer(kind string, apply func(informer.Snapshot)) *informer.Informer {
	return &informer.Informer{
		Kind: kind, Settle: settle, List: g.store.List, Watch: g.store.Watch, OnChange: apply,
		OnAvailability: func(available bool, err error) {
			if available {
				g.Log.Emit(event.StoreReachable, event.Fields{"kind": kind})
				return
			}
			g.Log.Emit(event.StoreUnreachable, event.Fields{"kind": kind, "error": err.Error()})
		},
	}
}

func (g *Gateway) applyConfiguration(snapshot informer.Snapshot) {
	object, found := snapshot.Objects[platform.ConfigurationName]
	if !found {
		return
	}
	next, err := platform.DecodeConfiguration(object.Value)
	if err != nil {
		g.Log.Emit(event.ObjectUnreadable, event.Fields{"object": object.Name, "error": err.Error()})
		return
	}
	if g.configuration.Offer(next) {
		g.Log.Emit(event.ConfigurationApplied, event.Fields{"version": next.Version(), "revision": object.Revision})
	}
}

func (g *Gateway) applyEndpoints(snapshot informer.Snapshot) {
	var endpoints []fleet.Endpoint
	for _, object := range snapshot.Objects {
		endpoint, err := platform.DecodeEndpoint(object.Name, object.Value, g.Deployment.Regions, g.layers)
		if err != nil {
			g.Log.Emit(event.ObjectUnreadable, event.Fields{"object": object.Name, "error": err.Error()})
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	g.fleet.SetEndpoints(endpoints)
}

// layers returns the number of layers of a service's model.
func (g *Gateway) layers(service string) int {
	if current := g.configuration.Current(); current != nil {
		if found, known := current.Service(service); known && found.Engine != nil {
			return found.Engine.Layers
		}
	}
	return 0
}

func (g *Gateway) applyEvacuations(snapshot informer.Snapshot) {
	zones := map[string]bool{}
	for name := range snapshot.Objects {
		zones[name] = true
	}
	g.fleet.SetEvacuated(zones)
}

func (g *Gateway) applyRollouts(snapshot informer.Snapshot) {
	versions := map[string]int64{}
	for _, object := range snapshot.Objects {
		model, version, err := platform.DecodeRollout(object.Value)
		if err != nil {
			g.Log.Emit(event.ObjectUnreadable, event.Fields{"object": object.Name, "error": err.Error()})
			continue
		}
		versions[model] = version
	}
	g.fleet.SetWanted(versions)
}
