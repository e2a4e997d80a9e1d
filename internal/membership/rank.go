package membership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Rank orders instances by their rendezvous hash for key, highest score first.
// Every process with the same list computes the same order, and adding or
// removing an instance does not change the relative order of the others.
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

// TopRanked returns the first count instances of Rank, in the same order, without
// sorting the rest.
func TopRanked(key string, instances []Instance, count int) []Instance {
	var top []Instance
	for _, instance := range instances {
		position := len(top)
		for position > 0 && ranksBefore(key, instance, top[position-1]) {
			position--
		}
		if position < count {
			top = slices.Insert(top, position, instance)
			top = top[:min(count, len(top))]
		}
	}
	return top
}

// ranksBefore reports whether Rank orders a before b.
func ranksBefore(key string, a, b Instance) bool {
	scoreA, scoreB := Score(key, a.Name), Score(key, b.Name)
	return scoreA > scoreB || (scoreA == scoreB && a.Name < b.Name)
}

// Score returns the rendezvous hash of an instance for key.
func Score(key, instance string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(key)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(instance)
	return digest.Sum64()
}
