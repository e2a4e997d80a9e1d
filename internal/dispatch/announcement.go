package dispatch

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// announced is the newest announcement of an endpoint.
type announced struct {
	clusterstate.Announcement
	// incarnation is that of the endpoint, 0 if there is no announcement.
	incarnation int64
	// saidAt is when the endpoint said so.
	saidAt time.Time
}

// RecordAnnouncement records what an endpoint says about itself in a response to this gateway,
// and reports whether that differs from before.
func (d *Dispatcher) RecordAnnouncement(endpoint clusterstate.Endpoint, announcement clusterstate.Announcement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state(endpoint.ID).announced.record(endpoint.Incarnation, announcement, time.Now())
}

// record records an announcement and reports whether it changes the current one. An endpoint
// that is leaving stays so, because responses may overtake each other.
func (a *announced) record(incarnation int64, announcement clusterstate.Announcement, saidAt time.Time) bool {
	if incarnation < a.incarnation || (incarnation == a.incarnation && !saidAt.After(a.saidAt)) {
		return false
	}
	if incarnation > a.incarnation {
		*a = announced{incarnation: incarnation}
	}
	announcement.Leaving = announcement.Leaving || a.Leaving
	changed := announcement != a.Announcement
	a.Announcement, a.saidAt = announcement, saidAt
	return changed
}
