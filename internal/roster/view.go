package roster

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable picture of the instance list. A nil View is empty.
type View struct {
	version   int64
	instances map[string]Instance
	byPool    map[string][]Instance
	live      []Instance
}

// NewView returns an empty view.
func NewView() *View { return &View{} }

// Version returns the list version that the view holds.
func (v *View) Version() int64 { return v.version }

// Len returns the number of records, gone ones included.
func (v *View) Len() int { return len(v.instances) }

// Instance returns the named record.
func (v *View) Instance(name string) (Instance, bool) {
	found, ok := v.instances[name]
	return found, ok
}

// Live returns the live instances, ordered by name. Callers must not change it.
func (v *View) Live() []Instance { return v.live }

// Pool returns the live agents of a pool, ordered by name. Callers must not
// change it.
func (v *View) Pool(name string) []Instance { return v.byPool[name] }

// Entries returns the live entries, ordered by name.
func (v *View) Entries() []Instance {
	var entries []Instance
	for _, instance := range v.live {
		if instance.Role == EntryRole {
			entries = append(entries, instance)
		}
	}
	return entries
}

// ChangedSince returns the records that changed after version.
func (v *View) ChangedSince(version int64) []Instance {
	var changed []Instance
	for _, instance := range v.instances {
		if instance.Version > version {
			changed = append(changed, instance)
		}
	}
	slices.SortFunc(changed, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return changed
}

// With returns a view with the changed records and the new version. A record
// that is older than the one held is ignored.
func (v *View) With(changed []Instance, version int64) *View {
	next := &View{version: max(v.version, version), instances: maps.Clone(v.instances)}
	if next.instances == nil {
		next.instances = make(map[string]Instance, len(changed))
	}
	for _, instance := range changed {
		if held, ok := next.instances[instance.Name]; ok && held.Version >= instance.Version {
			continue
		}
		next.instances[instance.Name] = instance
	}
	next.prune()
	next.index()
	return next
}

// goneKept is the number of list versions for which a record of a gone instance
// is kept, so that deletions reach every process.
const goneKept = 10_000

// prune drops the records of instances that went long ago.
func (v *View) prune() {
	for name, instance := range v.instances {
		if instance.Status == Gone && instance.Version+goneKept < v.version {
			delete(v.instances, name)
		}
	}
}

func (v *View) index() {
	v.byPool = map[string][]Instance{}
	for _, instance := range v.instances {
		if instance.Status == Live {
			v.live = append(v.live, instance)
		}
	}
	slices.SortFunc(v.live, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	for _, instance := range v.live {
		if instance.Role == AgentRole {
			v.byPool[instance.Pool] = append(v.byPool[instance.Pool], instance)
		}
	}
}

// Zones returns the availability zones that have a live instance, in order.
func (v *View) Zones() []string {
	var zones []string
	for _, instance := range v.live {
		if !slices.Contains(zones, instance.AvailabilityZone) {
			zones = append(zones, instance.AvailabilityZone)
		}
	}
	slices.Sort(zones)
	return zones
}

// Rank orders instances by rendezvous hash for key: every process that holds
// the same list computes the same order, and one instance more or less moves
// only its own place.
func Rank(key string, instances []Instance) []Instance {
	type scored struct {
		score    uint64
		instance Instance
	}
	scores := make([]scored, 0, len(instances))
	for _, instance := range instances {
		scores = append(scores, scored{score: Score(key, instance.Name), instance: instance})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		if a.score != b.score {
			if a.score > b.score {
				return -1
			}
			return 1
		}
		return strings.Compare(a.instance.Name, b.instance.Name)
	})
	ranked := make([]Instance, 0, len(scores))
	for _, s := range scores {
		ranked = append(ranked, s.instance)
	}
	return ranked
}

// Score returns the rendezvous weight of an instance for key.
func Score(key, instance string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}
