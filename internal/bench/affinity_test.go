package bench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/mimosaward/mimosaward/internal/admission"
	"github.com/mimosaward/mimosaward/internal/desiredstate"
	"github.com/mimosaward/mimosaward/internal/membership"
	"github.com/mimosaward/mimosaward/internal/routing"
)

// affinityMeasurement holds the prefix-cache hit rate and the load imbalance of one
// routing policy.
type affinityMeasurement struct {
	Kind      string  `json:"figure"`
	Affinity  bool    `json:"affinity"`
	Endpoints int     `json:"endpoints"`
	Prefixes  int     `json:"prefixes"`
	HitRate   float64 `json:"hitShare"`
	// Imbalance is the request count of the busiest endpoint divided by the mean.
	Imbalance float64 `json:"imbalance"`
}

const (
	affinityRequests = 20_000
	// cachedPrefixes is the capacity of an engine's prefix cache.
	cachedPrefixes  = 20
	affinityLimit   = 16
	affinityPercent = 60
)

// prefixCache models an engine's prefix cache with LRU eviction.
type prefixCache struct {
	prefixes []int
}

func (c *prefixCache) access(prefix int) bool {
	index := slices.Index(c.prefixes, prefix)
	if index >= 0 {
		c.prefixes = slices.Delete(c.prefixes, index, index+1)
	}
	c.prefixes = append(c.prefixes, prefix)
	c.prefixes = c.prefixes[max(0, len(c.prefixes)-cachedPrefixes):]
	return index >= 0
}

// measureAffinity routes requests whose prefixes follow a Zipf distribution while
// affinityPercent of the endpoints' total limit is in flight.
func measureAffinity(affinity bool) affinityMeasurement {
	const endpoints, prefixes = 12, 100
	random := rand.New(rand.NewPCG(5, 5))
	zipf := rand.NewZipf(random, 1.2, 4, prefixes-1)
	var list []membership.Instance
	for index := range endpoints {
		list = append(list, membership.Instance{Name: fmt.Sprint("draft-", index), Role: membership.AgentRole, Pool: "drafting", AvailabilityZone: "a", Region: "a", Status: membership.Live, Version: 1})
	}
	view := membership.NewView().With(list, 1)
	router := &routing.Router{Self: membership.Instance{Name: "entry", AvailabilityZone: "a", Region: "a"}, SubsetSize: 16}
	caches, counts := map[string]*prefixCache{}, map[string]int{}
	var inFlight []string
	hits := 0
	for range affinityRequests {
		prefix := int(zipf.Uint64())
		request := routing.Request{Pool: "drafting"}
		if affinity {
			request.PrefixKey = fmt.Sprint(prefix)
		}
		chosen, _ := router.Choose(request, view, &desiredstate.Snapshot{})
		router.Begin(chosen.Name)
		inFlight = append(inFlight, chosen.Name)
		if len(inFlight) > endpoints*affinityLimit*affinityPercent/100 {
			index := random.IntN(len(inFlight))
			router.End(inFlight[index])
			inFlight = slices.Delete(inFlight, index, index+1)
		}
		busy := 0
		for _, name := range inFlight {
			if name == chosen.Name {
				busy++
			}
		}
		router.RecordLoad(chosen.Name, admission.Load{InFlight: busy, Limit: affinityLimit})
		if caches[chosen.Name] == nil {
			caches[chosen.Name] = &prefixCache{}
		}
		if caches[chosen.Name].access(prefix) {
			hits++
		}
		counts[chosen.Name]++
	}
	busiest := 0
	for _, count := range counts {
		busiest = max(busiest, count)
	}
	return affinityMeasurement{
		Kind: "prefixAffinity", Affinity: affinity, Endpoints: endpoints, Prefixes: prefixes,
		HitRate: float64(hits) / affinityRequests, Imbalance: float64(busiest) * endpoints / affinityRequests,
	}
}

func TestPrefixAffinity(t *testing.T) {
	without, with := measureAffinity(false), measureAffinity(true)
	printMeasurement(t, without)
	printMeasurement(t, with)
	if with.HitRate <= without.HitRate {
		t.Errorf("hit rate with affinity is %.3f, not above %.3f without it", with.HitRate, without.HitRate)
	}
}
