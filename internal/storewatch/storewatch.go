// Package storewatch watches the objects that operators and endpoints write to the
// object store, and provides the current configuration and state of the endpoints. It
// makes no decisions about requests.
package storewatch

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/concurrency"
	"github.com/mimosaward/mimosaward/internal/configuration"
	"github.com/mimosaward/mimosaward/internal/event"
	"github.com/mimosaward/mimosaward/internal/informer"
	"github.com/mimosaward/mimosaward/platform"
)

const (
	// coalesceDelay is the pause between watches in which changes in quick succession
	// accumulate. It is well below every limit within which a change must take effect.
	coalesceDelay = 100 * time.Millisecond
	// endpointCoalesceDelay is the pause for endpoints. It is longer since endpoints
	// change constantly and each watch response costs a call. A longer pause is
	// acceptable because a leaving endpoint may receive requests for some seconds, and
	// loaders report the status of their engines sooner.
	endpointCoalesceDelay = 400 * time.Millisecond
	// endpointRetainTime is how long endpoints count as alive that a store lost which returned
	// from an older copy: they write their entries again within about two seconds.
	endpointRetainTime = 2 * time.Second
	// maxEntryBytes is the size above which an entry is ignored. Entries of endpoints have a few
	// hundred bytes.
	maxEntryBytes = 16 << 10
	// operatorRetainTime is the same for what operators write.
	operatorRetainTime = 10 * time.Second
)

// Observer watches the object store. Set the exported fields before calling Init, and
// call Init before any other method; the methods are safe for concurrent use.
type Observer struct {
	List  func(ctx context.Context, kind, after string) (informer.Page, error)
	Watch func(ctx context.Context, kind string, after int64, wait time.Duration) (informer.Batch, error)
	// Reads reports whether this process reads the object API itself instead of receiving
	// copies from others; nil means that it does.
	Reads func() bool
	// Verifies reports whether this process verifies the copies of a kind for the others; nil
	// means that it does.
	Verifies func(kind string) bool
	// Anchored reports whether the watches of all kinds that this process verifies may rely on that
	// of the endpoints; nil means that they do not.
	Anchored func() bool
	// Reserved reports whether an address belongs to a process other than an endpoint; nil means
	// that none does.
	Reserved func(address string) bool
	// NotWrittenBefore returns a time before which an object with a revision was not written, false
	// if it was written right before it was noticed. initial is true if the object was in the first
	// copy. While ready is false, the time is not known yet. A nil function means that objects are
	// noticed right after they were written.
	NotWrittenBefore func(revision int64, initial bool) (at time.Time, earlier, ready bool)
	// RecordedTime is the time of day with which recorded times are compared; nil means time.Now.
	RecordedTime func() time.Time
	// Regions maps each availability zone to its region.
	Regions map[string]string
	Log     *event.Logger

	configuration configuration.Store
	clusterState  *clusterstate.Store
	rollouts      Rollouts
	// ledger is nil if Anchored is nil.
	ledger    *informer.Ledger
	informers []*informer.Informer
	endpoints *informer.Informer
	// endpointsMu serializes updates of the endpoints.
	endpointsMu sync.Mutex

	mu      sync.Mutex
	changed chan struct{}
	// reportedUnreadable maps each object that was logged as unreadable to its position
	// at that time, so that it is logged once per change.
	reportedUnreadable map[string]informer.Position
	// recordsRead holds the records of versions whose times were converted.
	recordsRead map[recordOfModel]bool
	// rolloutsApplied is true once a copy of the rollouts was applied, and undated holds the versions
	// in it of which it is not known yet when they were requested.
	rolloutsApplied bool
	undated         []undatedVersion
}

// Init initializes the observer and returns it.
func (o *Observer) Init() *Observer {
	o.clusterState = clusterstate.NewStore()
	if o.RecordedTime == nil {
		o.RecordedTime = time.Now
	}
	o.changed = make(chan struct{})
	o.reportedUnreadable = map[string]informer.Position{}
	if o.Anchored != nil {
		o.ledger = &informer.Ledger{Anchor: platform.KindEndpoints, Active: o.Anchored}
	}
	o.AddInformer(platform.KindConfiguration, coalesceDelay, o.applyConfiguration).Sequence = configurationSequence
	o.endpoints = o.AddInformer(platform.KindEndpoints, endpointCoalesceDelay, func(informer.Snapshot) { o.applyEndpoints() })
	o.endpoints.Sequence = endpointSequence
	o.AddInformer(platform.KindEvacuations, coalesceDelay, o.applyEvacuations)
	o.AddInformer(platform.KindRollouts, coalesceDelay, o.applyRollouts).Sequence = rolloutSequence
	for _, inf := range o.informers {
		inf.RetainTime = operatorRetainTime
		if inf.Kind == platform.KindConfiguration {
			inf.MaxValueBytes = 0
		}
		if inf.Kind == platform.KindEndpoints {
			inf.RetainTime = endpointRetainTime
		}
	}
	return o
}

// AddInformer adds an informer for another kind, which calls apply after each change, and
// returns it. Changes within delay share a watch. It must be called before Run.
func (o *Observer) AddInformer(kind string, delay time.Duration, apply func(informer.Snapshot)) *informer.Informer {
	var added *informer.Informer
	added = &informer.Informer{
		Kind: kind, CoalesceDelay: delay, List: o.List, Watch: o.Watch, Reads: o.Reads, MaxValueBytes: maxEntryBytes,
		OnChange: func(snapshot informer.Snapshot) {
			apply(snapshot)
			o.notifyChange()
		},
		OnRestored: func(store, local informer.Position) {
			o.Log.Emit(event.StoreRestored, event.Fields{
				"kind": kind, "era": store.Era, "revision": store.Revision, "copyEra": local.Era, "copyRevision": local.Revision,
			})
		},
		OnAvailability: func(available bool, err error) {
			if available {
				o.Log.Emit(event.StoreReachable, event.Fields{"kind": kind})
				return
			}
			fields := event.Fields{"kind": kind, "error": err.Error()}
			if answeredAt := added.AnsweredAt(); !answeredAt.IsZero() {
				fields["unansweredMs"] = time.Since(answeredAt).Milliseconds()
			}
			o.Log.Emit(event.StoreUnreachable, fields)
		},
	}
	if o.Verifies != nil {
		added.Verifies = func() bool { return o.Verifies(kind) }
	}
	if o.ledger != nil {
		o.ledger.Add(kind)
		added.Ledger = o.ledger
	}
	o.informers = append(o.informers, added)
	return added
}

// Run runs all informers until ctx is done.
func (o *Observer) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	for _, inf := range o.informers {
		group.Go(inf.Run)
	}
	group.Wait()
}

// StoreAvailable reports whether the object API responds for every kind.
func (o *Observer) StoreAvailable() bool {
	return !o.StoreFailed() && !slices.ContainsFunc(o.informers, func(inf *informer.Informer) bool { return inf.Position().IsZero() })
}

// StoreFailed reports whether the last call to the object API has failed for a kind.
func (o *Observer) StoreFailed() bool {
	return slices.ContainsFunc(o.informers, func(inf *informer.Informer) bool {
		unavailableSince, _ := inf.Availability()
		return !unavailableSince.IsZero()
	})
}

// Era returns the newest era of the object store that a copy has.
func (o *Observer) Era() int64 {
	newest := int64(0)
	for _, inf := range o.informers {
		newest = max(newest, inf.Position().Era)
	}
	return newest
}

// Informers returns the informers added so far.
func (o *Observer) Informers() []*informer.Informer { return slices.Clone(o.informers) }

// Configuration returns the current configuration, or nil before the first one.
func (o *Observer) Configuration() *configuration.Configuration { return o.configuration.Current() }

// RolloutObjects returns the objects in which operators request model versions, except those
// that the store has lost.
func (o *Observer) RolloutObjects() map[string]informer.Object {
	for _, inf := range o.informers {
		if inf.Kind == platform.KindRollouts {
			snapshot, _ := inf.Snapshot()
			maps.DeleteFunc(snapshot.Objects, func(_ string, object informer.Object) bool { return object.Era < snapshot.Era })
			return snapshot.Objects
		}
	}
	return nil
}

// StatusHasVersion reports whether an object's status records when a version became
// known.
func StatusHasVersion(object informer.Object, version int64) bool {
	var history []VersionRecord
	if err := json.Unmarshal(object.Status, &history); err != nil {
		// A status that is not a history is overwritten with one.
		return false
	}
	return slices.ContainsFunc(history, func(record VersionRecord) bool { return record.Version == version })
}

// ClusterState returns the current view of the endpoints.
func (o *Observer) ClusterState() *clusterstate.View { return o.clusterState.View() }

// Changed returns a channel that is closed at the next change.
func (o *Observer) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

func (o *Observer) notifyChange() {
	o.mu.Lock()
	defer o.mu.Unlock()
	close(o.changed)
	o.changed = make(chan struct{})
}
