// Package clusterstate holds a process's view of the endpoints: the entries that they
// write into the store, which availability zones are out of service, and which weights
// the operators want. It does no I/O.
package clusterstate

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// View is what is known at one time. It is immutable.
type View struct {
	endpoints map[string][]Endpoint
	revision  int64
	evacuated map[string]bool
	wanted    map[string]int64
}

// ServiceEndpoints returns the endpoints of a service, ordered by ID. Callers must not
// change them.
func (v *View) ServiceEndpoints(name string) []Endpoint { return v.endpoints[name] }

// Revision returns the store's revision of the endpoints.
func (v *View) Revision() int64 { return v.revision }

// Evacuated reports whether an availability zone is out of service.
func (v *View) Evacuated(zone string) bool { return v.evacuated[zone] }

// WantedVersion returns the version of a model that the operators want, 0 if they named
// none.
func (v *View) WantedVersion(model string) int64 { return v.wanted[model] }

// Complete reports whether the endpoints and the wanted versions were read, so that what
// is missing in the view does not exist.
func (v *View) Complete() bool { return v.revision > 0 && v.wanted != nil }

// Holder holds the newest view. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[View]
	// changing serializes the changes.
	changing sync.Mutex
}

// NewHolder returns a holder of an empty view.
func NewHolder() *Holder {
	h := &Holder{}
	h.current.Store(&View{})
	return h
}

// View returns the newest view.
func (h *Holder) View() *View { return h.current.Load() }

// SetEndpoints replaces the endpoints by those at a revision of the store.
func (h *Holder) SetEndpoints(endpoints []Endpoint, revision int64) {
	byService := map[string][]Endpoint{}
	for _, endpoint := range newestAtAddress(endpoints) {
		byService[endpoint.Service] = append(byService[endpoint.Service], endpoint)
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	h.change(func(next *View) { next.endpoints, next.revision = byService, revision })
}

// newestAtAddress drops the endpoints whose address belongs to another one that started
// later: one that restarted under a new ID has two entries for a while.
func newestAtAddress(endpoints []Endpoint) map[string]Endpoint {
	newest := make(map[string]Endpoint, len(endpoints))
	for _, endpoint := range endpoints {
		held, known := newest[endpoint.Address]
		if !known || endpoint.Incarnation > held.Incarnation || (endpoint.Incarnation == held.Incarnation && endpoint.ID < held.ID) {
			newest[endpoint.Address] = endpoint
		}
	}
	return newest
}

// SetEvacuatedZones replaces the availability zones that are out of service.
func (h *Holder) SetEvacuatedZones(zones map[string]bool) {
	h.change(func(next *View) { next.evacuated = maps.Clone(zones) })
}

// SetWantedVersions replaces the versions that the operators want of each model.
func (h *Holder) SetWantedVersions(versions map[string]int64) {
	h.change(func(next *View) { next.wanted = maps.Clone(versions) })
}

func (h *Holder) change(set func(next *View)) {
	h.changing.Lock()
	defer h.changing.Unlock()
	next := *h.View()
	set(&next)
	h.current.Store(&next)
}
