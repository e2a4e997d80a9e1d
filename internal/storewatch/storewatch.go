// Package storewatch watches what the operators and the endpoints write into the
// store, and holds the newest configuration and view of the endpoints. It decides
// nothing about requests.
package storewatch

import (
	"context"
	"encoding/json"
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
	// coalesceDelay is the pause in which changes in quick succession are gathered. It is well
	// below every bound in which a change must be in force.
	coalesceDelay = 100 * time.Millisecond
	// endpointCoalesceDelay is the same for endpoints, which change all the time: each answer of
	// a watch is a call that is paid for. A leaving endpoint may get requests for
	// seconds, and loaders tell sooner how their engines are.
	endpointCoalesceDelay = 400 * time.Millisecond
)

// Observer follows the store. Set the exported fields before Run; the methods are
// safe for concurrent use.
type Observer struct {
	List  func(ctx context.Context, kind, after string) (informer.Page, error)
	Watch func(ctx context.Context, kind string, after int64) (informer.Batch, error)
	// Regions holds the region of each availability zone.
	Regions map[string]string
	Log     *event.Logger

	configuration configuration.Holder
	clusterState  *clusterstate.Holder
	rollouts      Rollouts
	informers     []*informer.Informer

	mu      sync.Mutex
	changed chan struct{}
	// reportedUnreadable holds the revisions of the objects that were reported as
	// reportedUnreadable, so that each is reported once.
	reportedUnreadable map[string]int64
}

// Init prepares the observer.
func (o *Observer) Init() *Observer {
	o.clusterState = clusterstate.NewHolder()
	o.changed = make(chan struct{})
	o.reportedUnreadable = map[string]int64{}
	o.AddInformer(platform.KindConfiguration, o.applyConfiguration)
	o.AddInformer(platform.KindEndpoints, o.applyEndpoints)
	o.AddInformer(platform.KindEvacuations, o.applyEvacuations)
	o.AddInformer(platform.KindRollouts, o.applyRollouts)
	return o
}

// AddInformer follows one more kind; apply is called with each change. It must be called
// before Run.
func (o *Observer) AddInformer(kind string, apply func(informer.Snapshot)) {
	delay := coalesceDelay
	if kind == platform.KindEndpoints {
		delay = endpointCoalesceDelay
	}
	o.informers = append(o.informers, &informer.Informer{
		Kind: kind, CoalesceDelay: delay, List: o.List, Watch: o.Watch,
		OnChange: func(snapshot informer.Snapshot) {
			apply(snapshot)
			o.notifyChange()
		},
		OnAvailability: func(available bool, err error) {
			if available {
				o.Log.Emit(event.StoreReachable, event.Fields{"kind": kind})
				return
			}
			o.Log.Emit(event.StoreUnreachable, event.Fields{"kind": kind, "error": err.Error()})
		},
	})
}

// Run follows the store until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	group := concurrency.NewGroup(ctx)
	for _, inf := range o.informers {
		group.Go(inf.Run)
	}
	group.Wait()
}

// Informers returns the informers of the kinds followed so far.
func (o *Observer) Informers() []*informer.Informer { return slices.Clone(o.informers) }

// Configuration returns the configuration in force, nil before the first one.
func (o *Observer) Configuration() *configuration.Configuration { return o.configuration.Current() }

// RolloutObjects returns the objects in which the operators name versions.
func (o *Observer) RolloutObjects() map[string]informer.Object {
	for _, inf := range o.informers {
		if inf.Kind == platform.KindRollouts {
			snapshot, _ := inf.Snapshot()
			return snapshot.Objects
		}
	}
	return nil
}

// StatusHasVersion reports whether an object's status tells when a version became known.
func StatusHasVersion(object informer.Object, version int64) bool {
	var history []VersionRecord
	if err := json.Unmarshal(object.Status, &history); err != nil {
		// Whatever stands there is replaced by a history.
		return false
	}
	return slices.ContainsFunc(history, func(record VersionRecord) bool { return record.Version == version })
}

// ClusterState returns what is known about the endpoints.
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
