package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
	"github.com/mimosaward/mimosaward/internal/peering"
)

const (
	// announcementMaxAge is how long a gateway relies on a limit that neither a response nor
	// another gateway has confirmed, and how long the end of a limit is passed on.
	announcementMaxAge = 15 * time.Second
	// observedMaxAge is how long a gateway that holds no limit passes on what an endpoint said
	// to it: long enough to reach the holder.
	observedMaxAge = 2 * time.Second
)

// announced is the newest announcement of an endpoint.
type announced struct {
	clusterstate.Announcement
	// incarnation is that of the endpoint, 0 if there is no announcement.
	incarnation int64
	// saidAt is when the endpoint said so, observedAt when it last did so to this gateway.
	saidAt     time.Time
	observedAt time.Time
	// changedAt is when the announcement changed, confirmedAt when it was last received from
	// the endpoint or another gateway.
	changedAt   time.Time
	confirmedAt time.Time
}

// record records an announcement and reports whether it changes the current one. An endpoint
// that is leaving stays so, because responses may overtake each other.
func (a *announced) record(incarnation int64, announcement clusterstate.Announcement, saidAt, now time.Time) bool {
	if incarnation < a.incarnation {
		return false
	}
	if incarnation > a.incarnation {
		*a = announced{incarnation: incarnation, changedAt: now}
	}
	announcement.Leaving = announcement.Leaving || a.Leaving
	if announcement == a.Announcement {
		a.confirmedAt = now
	}
	if !saidAt.After(a.saidAt) {
		return false
	}
	changed := announcement != a.Announcement
	if changed {
		a.changedAt = now
	}
	a.Announcement, a.saidAt, a.confirmedAt = announcement, saidAt, now
	return changed
}

// outdated reports whether the announcement was not confirmed recently.
func (a *announced) outdated(now time.Time) bool { return now.Sub(a.confirmedAt) > announcementMaxAge }

// spreads reports whether this gateway passes the announcement on. held is true if it holds the
// endpoint's limit.
func (a *announced) spreads(held bool, now time.Time) bool {
	relevant := a.Limited || a.Leaving || now.Sub(a.changedAt) <= announcementMaxAge
	return relevant && a.incarnation > 0 && (held || now.Sub(a.observedAt) <= observedMaxAge)
}

// leaving reports whether the endpoint said that it is about to shut down.
func (a *announced) leaving(endpoint *clusterstate.Endpoint) bool {
	return a.Leaving && a.incarnation == endpoint.Incarnation
}

// RecordAnnouncement records what an endpoint says about itself in a response to this gateway,
// and reports whether that differs from before.
func (d *Dispatcher) RecordAnnouncement(endpoint clusterstate.Endpoint, announcement clusterstate.Announcement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	current := &d.state(endpoint.ID).announced
	changed := current.record(endpoint.Incarnation, announcement, now, now)
	if current.incarnation == endpoint.Incarnation {
		current.observedAt = now
	}
	d.noteLimit(announcement, now)
	return changed
}

// RecordAnnounced records announcements that another gateway passes on, which it sent an age
// ago.
func (d *Dispatcher) RecordAnnounced(list []peering.Announced, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, item := range list {
		d.state(item.Endpoint).announced.record(item.Incarnation, item.Announcement, now.Add(-item.Age-age), now)
		d.noteLimit(item.Announcement, now)
	}
}

// noteLimit notes that an endpoint may have a limit.
func (d *Dispatcher) noteLimit(announcement clusterstate.Announcement, now time.Time) {
	if announcement.Limited {
		d.limitSeenAt = now
	}
}

// LimitsKnown reports whether an endpoint may have a request limit.
func (d *Dispatcher) LimitsKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limitsKnown(time.Now())
}

// limitsKnown reports whether an endpoint may have a limit.
func (d *Dispatcher) limitsKnown(now time.Time) bool {
	return !d.limitSeenAt.IsZero() && now.Sub(d.limitSeenAt) <= announcementMaxAge
}

// announcements returns the announcements that this gateway passes on.
func (d *Dispatcher) announcements(now time.Time) []peering.Announced {
	if d.limitsKnown(now) {
		for service := range d.services {
			if config, exists := d.Service(service); exists {
				// This determines which limits the gateway holds.
				d.snapshotEndpoints(config, now)
			}
		}
	}
	var list []peering.Announced
	for id, state := range d.endpoints {
		if current := &state.announced; current.spreads(state.limit.held, now) {
			list = append(list, peering.Announced{Endpoint: id, Incarnation: current.incarnation, Announcement: current.Announcement, Age: now.Sub(current.saidAt)})
		}
	}
	return list
}
