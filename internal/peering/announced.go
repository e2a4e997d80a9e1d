package peering

import (
	"time"

	"github.com/mimosaward/mimosaward/internal/clusterstate"
)

// Announced is what an endpoint said about itself in a response.
type Announced struct {
	Endpoint    string
	Incarnation int64
	clusterstate.Announcement
	// Age is the time since the response.
	Age time.Duration
}

// aged returns the announcements with a time added to their ages.
func aged(list []Announced, age time.Duration) []Announced {
	result := make([]Announced, 0, len(list))
	for _, item := range list {
		item.Age += age
		result = append(result, item)
	}
	return result
}
