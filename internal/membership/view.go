package membership

import (
	"slices"
	"strings"
	"sync"
)

// View is an immutable snapshot of the instance list. It is safe for concurrent
// use. Callers must not modify the slices that it returns.
type View struct {
	version int64
	// records is sorted by name.
	records []Instance
	zones   []string

	mu sync.Mutex
	// pools and entries are computed on first use, since a process uses only
	// few of them.
	pools   map[string][]Instance
	entries []Instance
}

// NewView returns an empty view.
func NewView() *View { return &View{} }

// Version returns the list version of the view.
func (v *View) Version() int64 { return v.version }

// Len returns the number of records, including those of gone instances.
func (v *View) Len() int { return len(v.records) }

// Instance returns the record with the given name. The record may be that of a
// gone instance.
func (v *View) Instance(name string) (Instance, bool) {
	index, ok := slices.BinarySearchFunc(v.records, name, compareToName)
	if !ok {
		return Instance{}, false
	}
	return v.records[index], true
}

func compareToName(instance Instance, name string) int { return strings.Compare(instance.Name, name) }

// Zone returns the live instances in an availability zone, sorted by name.
func (v *View) Zone(zone string) []Instance {
	return v.filter(func(instance *Instance) bool { return instance.AvailabilityZone == zone })
}

// Pool returns the live agents of a pool, sorted by name.
func (v *View) Pool(name string) []Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	members, cached := v.pools[name]
	if cached {
		return members
	}
	members = v.filter(func(instance *Instance) bool { return instance.Role == AgentRole && instance.Pool == name })
	if v.pools == nil {
		v.pools = map[string][]Instance{}
	}
	v.pools[name] = members
	return members
}

// Entries returns the live entry instances, sorted by name.
func (v *View) Entries() []Instance {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.entries == nil {
		v.entries = v.filter(func(instance *Instance) bool { return instance.Role == EntryRole })
	}
	return v.entries
}

// filter returns the live instances for which match returns true.
func (v *View) filter(match func(instance *Instance) bool) []Instance {
	count := 0
	for index := range v.records {
		if record := &v.records[index]; record.Status == Live && match(record) {
			count++
		}
	}
	matches := make([]Instance, 0, count)
	for index := range v.records {
		if record := &v.records[index]; record.Status == Live && match(record) {
			matches = append(matches, *record)
		}
	}
	return matches
}

// ChangedSince returns the records that changed after version, sorted by name.
func (v *View) ChangedSince(version int64) []Instance {
	if version >= v.version {
		return nil
	}
	var changed []Instance
	for index := range v.records {
		if record := &v.records[index]; record.Version > version {
			changed = append(changed, *record)
		}
	}
	return changed
}

// With returns a copy of the view at the given list version with the changed
// records applied. A changed record that is older than the view's record of the
// same name is ignored, and the version never decreases.
func (v *View) With(changed []Instance, version int64) *View {
	next := &View{version: max(v.version, version)}
	next.records = merge(v.records, newestByName(changed))
	next.records = slices.DeleteFunc(next.records, func(record Instance) bool {
		return record.Status == Gone && record.Version+goneRetention < next.version
	})
	next.zones = next.liveZones()
	return next
}

// goneRetention is the number of list versions for which the record of a gone
// instance is retained, so that the deletion reaches every process.
const goneRetention = 10_000

// newestByName returns the newest record of each name, sorted by name.
func newestByName(records []Instance) []Instance {
	ordered := slices.Clone(records)
	slices.SortFunc(ordered, func(a, b Instance) int {
		if order := strings.Compare(a.Name, b.Name); order != 0 {
			return order
		}
		return int(b.Version - a.Version)
	})
	return slices.CompactFunc(ordered, func(a, b Instance) bool { return a.Name == b.Name })
}

// merge merges two lists sorted by name. Of two records with the same name it
// keeps the newer one, or the current one if both have the same version.
func merge(current, changed []Instance) []Instance {
	merged := make([]Instance, 0, len(current)+len(changed))
	for len(current) > 0 && len(changed) > 0 {
		switch order := strings.Compare(current[0].Name, changed[0].Name); {
		case order < 0:
			merged, current = append(merged, current[0]), current[1:]
		case order > 0:
			merged, changed = append(merged, changed[0]), changed[1:]
		default:
			if changed[0].Version <= current[0].Version {
				changed[0] = current[0]
			}
			current = current[1:]
		}
	}
	merged = append(merged, current...)
	return append(merged, changed...)
}

// Zones returns the sorted names of the availability zones that have a live
// instance.
func (v *View) Zones() []string { return v.zones }

func (v *View) liveZones() []string {
	var zones []string
	for index := range v.records {
		record := &v.records[index]
		if record.Status == Live && !slices.Contains(zones, record.AvailabilityZone) {
			zones = append(zones, record.AvailabilityZone)
		}
	}
	slices.Sort(zones)
	return zones
}
