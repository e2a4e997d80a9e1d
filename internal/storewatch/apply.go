package storewatch

import (
	"encoding/json"
	"slices"
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
		added := o.rollouts.add(model, version, time.Now())
		if added {
			o.Log.Emit(event.RolloutRequested, event.Fields{"model": model, "version": version, "revision": object.Revision})
		}
		if !StatusHasVersion(object, version) {
			o.dateVersion(undatedVersion{model: model, version: version, revision: object.Revision}, added)
		}
	}
	o.clusterState.SetWantedVersions(versions)
	o.mu.Lock()
	o.rolloutsApplied = true
	o.mu.Unlock()
	o.DateVersions()
}

// undatedVersion is a version of a model that was in the first copy, without a record of when it
// became known.
type undatedVersion struct {
	model    string
	version  int64
	revision int64
}

// dateVersion corrects the time since which a version is known if it was requested before it was
// noticed. What is not known to be recent is taken to be old. A version of the first copy is dated
// also if another gateway told of it, which may have just started too; a later one only if it was
// added.
func (o *Observer) dateVersion(found undatedVersion, added bool) {
	if o.NotWrittenBefore == nil {
		return
	}
	o.mu.Lock()
	initial := !o.rolloutsApplied
	if initial {
		o.undated = append(o.undated, found)
	}
	o.mu.Unlock()
	if initial || !added {
		return
	}
	if at, earlier, ready := o.NotWrittenBefore(found.revision, false); ready && earlier {
		o.correctVersion(found, at)
	}
}

// VersionsDated reports whether the first copy was received and its versions are dated as well as they
// can be.
func (o *Observer) VersionsDated() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rolloutsApplied && len(o.undated) == 0
}

// DateVersions dates the versions of the first copy if NotWrittenBefore can tell by now.
func (o *Observer) DateVersions() {
	o.mu.Lock()
	undated := slices.Clone(o.undated)
	o.mu.Unlock()
	for _, found := range undated {
		at, earlier, ready := o.NotWrittenBefore(found.revision, true)
		if !ready {
			return
		}
		if earlier {
			o.correctVersion(found, at)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.undated = slices.DeleteFunc(o.undated, func(found undatedVersion) bool { return slices.Contains(undated, found) })
}

func (o *Observer) correctVersion(found undatedVersion, at time.Time) {
	o.rollouts.Merge(found.model, found.version, at)
	o.Log.Emit(event.RolloutDated, event.Fields{
		"model": found.model, "version": found.version, "revision": found.revision, "ageMs": time.Since(at).Milliseconds(),
	})
	o.notifyChange()
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
		age := max(0, o.RecordedTime().Round(0).Sub(time.UnixMilli(record.KnownSinceUnixMilli)))
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
