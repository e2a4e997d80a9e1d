package gateway

import (
	"context"
	"time"

	"github.com/mimosaward/mimosaward/internal/dispatch"
	"github.com/mimosaward/mimosaward/internal/event"
)

const (
	// scarcityInterval is the interval at which the scarcity of services is checked for the log.
	scarcityInterval = time.Second
	// scarcityEnd is how long a service must have enough places before the log says so, because
	// scarcity comes and goes near the capacity.
	scarcityEnd = 5 * time.Second
)

// scarcityMonitor logs when services become scarce and when this ends. It is not safe for
// concurrent use.
type scarcityMonitor struct {
	stats    func() []dispatch.ScarcityStats
	log      *event.Logger
	episodes map[string]*scarcityEpisode
}

// scarcityEpisode is a time during which a service is scarce.
type scarcityEpisode struct {
	// before are the statistics at its begin.
	before       dispatch.ScarcityStats
	beganAt      time.Time
	lastScarceAt time.Time
}

// check logs what changed since the last call.
func (m *scarcityMonitor) check(context.Context) {
	if m.episodes == nil {
		m.episodes = map[string]*scarcityEpisode{}
	}
	now := time.Now()
	for _, stats := range m.stats() {
		current := m.episodes[stats.Service]
		switch {
		case stats.Scarce && current == nil:
			m.episodes[stats.Service] = &scarcityEpisode{before: stats, beganAt: now, lastScarceAt: now}
			m.log.Emit(event.ScarcityBegan, event.Fields{"service": stats.Service, "priority": stats.Priority, "lateWaiting": stats.LateWaiting})
		case stats.Scarce:
			current.lastScarceAt = now
		case current != nil && now.Sub(current.lastScarceAt) >= scarcityEnd:
			delete(m.episodes, stats.Service)
			before := current.before
			m.log.Emit(event.ScarcityEnded, event.Fields{
				"service": stats.Service, "durationMs": current.lastScarceAt.Sub(current.beganAt).Milliseconds(), "withheld": stats.Withheld - before.Withheld,
				"lateQueued": stats.Late.Queued - before.Late.Queued, "lateStarted": stats.Late.Started - before.Late.Started, "lateRefused": stats.Late.Refused - before.Late.Refused,
			})
		}
	}
}
