package clusterstate

import (
	"maps"
	"time"
)

// departureRetention is how long departures are remembered. It exceeds the time that a request
// takes.
const departureRetention = time.Minute

// endpointStart identifies a start of an endpoint.
type endpointStart struct {
	id          string
	incarnation int64
}

// departures holds since when endpoints are known to be draining or gone.
type departures map[endpointStart]time.Time

// after returns the departures after the endpoints changed.
func (d departures) after(previous, current []Endpoint, now time.Time) departures {
	next := maps.Clone(d)
	if next == nil {
		next = departures{}
	}
	maps.DeleteFunc(next, func(_ endpointStart, since time.Time) bool { return now.Sub(since) > departureRetention })
	present := make(map[endpointStart]bool, len(current))
	for index := range current {
		start := endpointStart{id: current[index].ID, incarnation: current[index].Incarnation}
		present[start] = true
		if !current[index].Draining {
			delete(next, start)
			continue
		}
		next.add(start, now)
	}
	for index := range previous {
		if start := (endpointStart{id: previous[index].ID, incarnation: previous[index].Incarnation}); !present[start] {
			next.add(start, now)
		}
	}
	return next
}

// add adds a departure that is not known yet.
func (d departures) add(start endpointStart, now time.Time) {
	if _, known := d[start]; !known {
		d[start] = now
	}
}
