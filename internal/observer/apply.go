package observer

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/fleet"
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
	if o.configuration.Offer(next) {
		o.Log.Emit(event.ConfigurationApplied, event.Fields{"version": next.Version(), "revision": object.Revision})
	}
}

func (o *Observer) applyEndpoints(snapshot informer.Snapshot) {
	endpoints := make([]fleet.Endpoint, 0, len(snapshot.Objects))
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
	o.fleet.SetEvacuated(zones)
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
		if o.fleet.View().Wanted(model) < version {
			o.noteNamed(model, version)
			o.Log.Emit(event.RolloutNamed, event.Fields{"model": model, "version": version, "revision": object.Revision})
		}
	}
	o.fleet.SetWanted(versions)
}

// naming is a version of a model and when it became known.
type naming struct {
	version int64
	at      time.Time
}

// maxNamings is the number of versions of a model whose times are remembered.
const maxNamings = 8

// noteNamed remembers when a new version of a model became known.
func (o *Observer) noteNamed(model string, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.named[model] = append(o.named[model], naming{version: version, at: time.Now()})
	o.named[model] = o.named[model][max(0, len(o.named[model])-maxNamings):]
}

// NamedAt returns when the wanted version of a model became known, or zero.
func (o *Observer) NamedAt(model string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.named[model]
	if len(known) == 0 {
		return time.Time{}
	}
	return known[len(known)-1].at
}

// DueVersion returns the newest version of a model that became known at least the
// given time ago, 0 if there is none.
func (o *Observer) DueVersion(model string, age time.Duration) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	due := int64(0)
	for _, named := range o.named[model] {
		if time.Since(named.at) >= age {
			due = max(due, named.version)
		}
	}
	return due
}

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
