package storewatch

import (
	"encoding/json"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/platform"
)

func (o *Observer) applyConfiguration(snapshot informer.Snapshot) {
	object, found := snapshot.Objects[platform.ConfigurationName]
	if !found {
		return
	}
	next, err := platform.DecodeConfiguration(object.Value)
	if err != nil {
		o.noteUnreadable(platform.KindConfiguration, object, err)
		return
	}
	if o.configuration.StoreIfNewer(next) {
		o.Log.Emit(event.ConfigurationApplied, event.Fields{"version": next.Version(), "revision": object.Revision})
	}
}

func (o *Observer) applyEndpoints(snapshot informer.Snapshot) {
	endpoints := make([]clusterstate.Endpoint, 0, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		endpoint, err := platform.DecodeEndpoint(object.Name, object.Value, o.Regions, o.layers)
		if err != nil {
			o.noteUnreadable(platform.KindEndpoints, object, err)
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	o.fleet.SetEndpoints(endpoints, snapshot.Revision)
}

// layers returns the number of layers of a service's model.
func (o *Observer) layers(service string) int {
	if current := o.configuration.Current(); current != nil {
		if found, known := current.Service(service); known && found.Engine != nil {
			return found.Engine.Layers
		}
	}
	return 0
}

func (o *Observer) applyEvacuations(snapshot informer.Snapshot) {
	zones := map[string]bool{}
	for name, object := range snapshot.Objects {
		zones[name] = true
		if !o.fleet.View().Evacuated(name) {
			o.Log.Emit(event.ZoneEvacuated, event.Fields{"availabilityZone": name, "revision": object.Revision})
		}
	}
	for zone := range o.Regions {
		if o.fleet.View().Evacuated(zone) && !zones[zone] {
			o.Log.Emit(event.ZoneReturned, event.Fields{"availabilityZone": zone, "revision": snapshot.Revision})
		}
	}
	o.fleet.SetEvacuatedZones(zones)
}

func (o *Observer) applyRollouts(snapshot informer.Snapshot) {
	versions := map[string]int64{}
	for _, object := range snapshot.Objects {
		model, version, err := platform.DecodeRollout(object.Value)
		if err != nil {
			o.noteUnreadable(platform.KindRollouts, object, err)
			continue
		}
		versions[model] = version
		o.readHistory(model, object)
		if o.rollouts.note(model, version, time.Now()) {
			o.Log.Emit(event.RolloutRequested, event.Fields{"model": model, "version": version, "revision": object.Revision})
		}
	}
	o.fleet.SetWantedVersions(versions)
}

// NamedAt is when a version became known, by the time of day. It lasts in the status of
// the model's object, for processes that restart.
type NamedAt struct {
	Version  int64 `json:"version"`
	UnixTime int64 `json:"unixMilliseconds"`
}

// readHistory takes over when the versions of a model became known.
func (o *Observer) readHistory(model string, object informer.Object) {
	if len(object.Status) == 0 || string(object.Status) == "null" {
		return
	}
	var history []NamedAt
	if err := json.Unmarshal(object.Status, &history); err != nil {
		o.noteUnreadable(platform.KindRollouts+" status", object, err)
		return
	}
	for _, named := range history {
		at := time.UnixMilli(named.UnixTime)
		if at.After(time.Now()) {
			// The clock of whoever wrote it is ahead; it became known at the latest now.
			at = time.Now()
		}
		o.rollouts.Hear(model, named.Version, at)
	}
}

// Rollouts returns when the versions of models became known.
func (o *Observer) Rollouts() *Rollouts { return &o.rollouts }

// noteUnreadable reports an object that cannot be read, once for each change of it.
func (o *Observer) noteUnreadable(kind string, object informer.Object, cause error) {
	key := kind + "/" + object.Name
	o.mu.Lock()
	reported := o.unreadable[key] == object.Revision
	o.unreadable[key] = object.Revision
	o.mu.Unlock()
	if !reported {
		o.Log.Emit(event.ObjectUnreadable, event.Fields{"object": key, "revision": object.Revision, "error": cause.Error()})
	}
}
