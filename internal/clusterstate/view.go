// Package clusterstate holds a process's view of the cluster: the entries that endpoints
// write to the object store, the availability zones that are out of service, and the
// versions of the weights that the operators want. It does no I/O.
package clusterstate

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosaward/mimosaward/internal/informer"
)

// View is an immutable snapshot of the cluster state.
type View struct {
	endpointsByService map[string][]Endpoint
	position           informer.Position
	// endpoints are all endpoints, and departures since when some are draining or gone.
	endpoints  []Endpoint
	departures departures
	// evacuatedZones holds since when availability zones are out of service.
	evacuatedZones map[string]time.Time
	wantedVersions map[string]int64
}

// ServiceEndpoints returns the endpoints of a service, ordered by ID. Callers must not
// change them.
func (v *View) ServiceEndpoints(name string) []Endpoint { return v.endpointsByService[name] }

// Position returns the position in the object store's history of the endpoints.
func (v *View) Position() informer.Position { return v.position }

// Evacuated reports whether an availability zone is out of service.
func (v *View) Evacuated(zone string) bool { return !v.evacuatedZones[zone].IsZero() }

// EvacuatedSince returns since when an availability zone is known to be out of service, or the
// zero time if it is in service.
func (v *View) EvacuatedSince(zone string) time.Time { return v.evacuatedZones[zone] }

// DepartedSince returns since when a start of an endpoint is known to be draining or gone, or the
// zero time if it is neither.
func (v *View) DepartedSince(endpoint *Endpoint) time.Time {
	return v.departures[endpointStart{id: endpoint.ID, incarnation: endpoint.Incarnation}]
}

// WantedVersion returns the version of a model that the operators want, 0 if none is set.
func (v *View) WantedVersion(model string) int64 { return v.wantedVersions[model] }

// Complete reports whether both the endpoints and the wanted versions have been read. An
// entry that is missing in an incomplete view may exist.
func (v *View) Complete() bool { return !v.position.IsZero() && v.wantedVersions != nil }

// Store holds the newest view. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[View]
	// updateMu serializes updates.
	updateMu sync.Mutex
}

// NewStore returns a Store with an empty view.
func NewStore() *Store {
	s := &Store{}
	s.current.Store(&View{})
	return s
}

// View returns the newest view.
func (s *Store) View() *View { return s.current.Load() }

// SetEndpoints replaces the endpoints with those at a position in the object store's history.
func (s *Store) SetEndpoints(endpoints []Endpoint, position informer.Position) {
	byService := map[string][]Endpoint{}
	for _, endpoint := range newestByAddress(endpoints) {
		byService[endpoint.Service] = append(byService[endpoint.Service], endpoint)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	now := time.Now()
	s.update(func(next *View) {
		next.departures = next.departures.after(next.endpoints, endpoints, now)
		next.endpointsByService, next.endpoints, next.position = byService, endpoints, position
	})
}

// newestByAddress returns the most recently started endpoint at each address. An endpoint
// that restarted under a new ID has two entries for a while.
func newestByAddress(endpoints []Endpoint) map[string]Endpoint {
	newest := make(map[string]Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		existing, exists := newest[endpoint.Address]
		if !exists || endpoint.Incarnation > existing.Incarnation || (endpoint.Incarnation == existing.Incarnation && endpoint.ID < existing.ID) {
			newest[endpoint.Address] = endpoint
		}
	}
	return newest
}

// SetEvacuatedZones replaces the set of availability zones that are out of service.
func (s *Store) SetEvacuatedZones(zones map[string]bool) {
	now := time.Now()
	s.update(func(next *View) {
		since := make(map[string]time.Time, len(zones))
		for zone, evacuated := range zones {
			if !evacuated {
				continue
			}
			since[zone] = now
			if known := next.EvacuatedSince(zone); !known.IsZero() {
				since[zone] = known
			}
		}
		next.evacuatedZones = since
	})
}

// SetWantedVersions replaces the version of each model that the operators want.
func (s *Store) SetWantedVersions(versions map[string]int64) {
	s.update(func(next *View) { next.wantedVersions = maps.Clone(versions) })
}

func (s *Store) update(apply func(next *View)) {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	next := *s.View()
	apply(&next)
	s.current.Store(&next)
}
