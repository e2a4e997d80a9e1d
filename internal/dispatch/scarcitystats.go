package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// ScarcityStats summarizes the scarcity of a service with engines and its late jobs.
type ScarcityStats struct {
	Service string
	// Scarce is true if jobs lacked places recently, at this gateway or another one of the cell.
	// Priority is the most urgent priority that did.
	Scarce   bool
	Priority int
	// Withheld is the number of jobs since the start that found only places reserved for more
	// urgent ones.
	Withheld int
	// LateWaiting is the number of queued late jobs.
	LateWaiting int
	Late        LateCounts
}

// ScarcityStats returns the statistics of each service with engines, ordered by name.
func (d *Dispatcher) ScarcityStats() []ScarcityStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var list []ScarcityStats
	for name, service := range d.services {
		if config, exists := d.Service(name); !exists || config.Engine == nil {
			continue
		}
		stats := ScarcityStats{Service: name, Withheld: service.withheld, LateWaiting: len(service.late), Late: service.lateCounts}
		stats.Priority, stats.Scarce = service.cellShortage.MostUrgent(now)
		list = append(list, stats)
	}
	slices.SortFunc(list, func(a, b ScarcityStats) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
