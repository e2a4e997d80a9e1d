package storewatch

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/platform"
)

func (o *Observer) applyConfiguration(snapshot informer.Snapshot) {
	object, exists := snapshot.Objects[platform.ConfigurationName]
	if !exists {
		return
	}
	config, err := platform.DecodeConfiguration(object.Value)
	if err != nil {
		o.LogUnreadable(platform.KindConfiguration, object, err)
		return
	}
	if o.configuration.StoreIfNewer(config) {
		o.Log.Emit(event.ConfigurationApplied, event.Fields{"version": config.Version(), "revision": object.Revision})
		o.applyEndpoints()
	}
}

// applyEndpoints derives the endpoints from their entries and the configuration.
func (o *Observer) applyEndpoints() {
	o.endpointsMu.Lock()
	defer o.endpointsMu.Unlock()
	snapshot, synced := o.endpoints.Snapshot()
	if !synced {
		return
	}
	endpoints := make([]clusterstate.Endpoint, 0, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		endpoint, err := platform.DecodeEndpoint(object.Name, object.Value, o.Regions, o.layers)
		if err != nil {
			o.LogUnreadable(platform.KindEndpoints, object, err)
			continue
		}
		endpoint.Revision = object.Revision
		if o.reserved(endpoint.Address) {
			o.LogUnreadable(platform.KindEndpoints, object, errors.Newf("%s is the address of another process", endpoint.Address))
			continue
		}
		if o.configured(endpoint.Service) {
			endpoints = append(endpoints, endpoint)
		}
	}
	o.clusterState.SetEndpoints(endpoints, snapshot.Position())
}

// reserved reports whether an address belongs to a process other than an endpoint.
func (o *Observer) reserved(address string) bool {
	if current := o.configuration.Current(); current != nil {
		if origin, exists := current.Origin(); exists && origin.Address == address {
			return true
		}
	}
	return o.Reserved != nil && o.Reserved(address)
}

// configured reports whether the configuration has a service. Before the first configuration,
// any service may be in it.
func (o *Observer) configured(service string) bool {
	current := o.configuration.Current()
	if current == nil {
		return true
	}
	_, exists := current.Service(service)
	return exists
}

// layers returns the number of layers of a service's model, or 0 if it is unknown.
func (o *Observer) layers(service string) int {
	if current := o.configuration.Current(); current != nil {
		if svc, exists := current.Service(service); exists && svc.Engine != nil {
			return svc.Engine.Layers
		}
	}
	return 0
}

func (o *Observer) applyEvacuations(snapshot informer.Snapshot) {
	zones := map[string]bool{}
	for name, object := range snapshot.Objects {
		zones[name] = true
		if !o.clusterState.View().Evacuated(name) {
			o.Log.Emit(event.ZoneEvacuated, event.Fields{"availabilityZone": name, "revision": object.Revision})
		}
	}
	for zone := range o.Regions {
		if o.clusterState.View().Evacuated(zone) && !zones[zone] {
			o.Log.Emit(event.ZoneReturned, event.Fields{"availabilityZone": zone, "revision": snapshot.Revision})
		}
	}
	o.clusterState.SetEvacuatedZones(zones)
}

func (o *Observer) applyRollouts(snapshot informer.Snapshot) {
	versions := map[string]int64{}
	for _, object := range snapshot.Objects {
		model, version, err := platform.DecodeRollout(object.Name, object.Value)
		if err != nil {
			o.LogUnreadable(platform.KindRollouts, object, err)
			continue
		}
		versions[model] = version
		o.mergeStatusHistory(model, object)
		if o.rollouts.add(model, version, time.Now()) {
			o.Log.Emit(event.RolloutRequested, event.Fields{"model": model, "version": version, "revision": object.Revision})
		}
	}
	o.clusterState.SetWantedVersions(versions)
}

// VersionRecord records the wall-clock time at which a version became known. It is
// stored in the status of the model's object, so that it survives restarts.
type VersionRecord struct {
	Version             int64 `json:"version"`
	KnownSinceUnixMilli int64 `json:"unixMilliseconds"`
}

// mergeStatusHistory merges the times recorded in an object's status, at which the
// versions of a model became known.
func (o *Observer) mergeStatusHistory(model string, object informer.Object) {
	if len(object.Status) == 0 || string(object.Status) == "null" {
		return
	}
	var history []VersionRecord
	if err := json.Unmarshal(object.Status, &history); err != nil {
		o.LogUnreadable(platform.KindRollouts+" status", object, err)
		return
	}
	for _, record := range history {
		if !o.firstReading(model, record) {
			continue
		}
		// From here on, the age does not follow steps of the time of day. If the clock of the
		// writer is ahead, the version became known no later than now.
		now := time.Now()
		age := max(0, now.Round(0).Sub(time.UnixMilli(record.KnownSinceUnixMilli)))
		o.rollouts.Merge(model, record.Version, now.Add(-age))
	}
}

// recordOfModel is a record of when a version of a model became known.
type recordOfModel struct {
	model  string
	record VersionRecord
}

// firstReading reports whether a record was not read before. Its time is converted once, because
// the time of day may have been changed since.
func (o *Observer) firstReading(model string, record VersionRecord) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := recordOfModel{model: model, record: record}
	if o.recordsRead[key] {
		return false
	}
	if o.recordsRead == nil || len(o.recordsRead) >= maxRecordsRead {
		o.recordsRead = map[recordOfModel]bool{}
	}
	o.recordsRead[key] = true
	return true
}

// maxRecordsRead limits the records that are remembered.
const maxRecordsRead = 256

// Rollouts returns the times at which model versions became known.
func (o *Observer) Rollouts() *Rollouts { return &o.rollouts }

// maxLoggedBytes bounds the texts of other writers in a record.
const maxLoggedBytes = 256

// LogUnreadable logs an object that cannot be decoded, once per change.
func (o *Observer) LogUnreadable(kind string, object informer.Object, cause error) {
	key := kind + "/" + object.Name
	o.mu.Lock()
	position := informer.Position{Era: object.Era, Revision: object.Revision}
	reported := o.reportedUnreadable[key] == position
	o.reportedUnreadable[key] = position
	o.mu.Unlock()
	if !reported {
		o.Log.Emit(event.ObjectUnreadable, event.Fields{"object": bounded(key), "revision": object.Revision, "error": bounded(cause.Error())})
	}
}

// bounded returns the start of a text in valid UTF-8.
func bounded(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxLoggedBytes)], "")
}
