package clusterstate

import "time"

// Endpoint is what an endpoint says of itself in the store.
type Endpoint struct {
	// ID names the endpoint; a restart may keep it.
	ID string
	// Incarnation tells starts with the same ID apart; it grows with each start.
	Incarnation      int64
	Service          string
	Address          string
	AvailabilityZone string
	Region           string
	// Slots is the number of requests that the endpoint works on at a time.
	Slots int
	// Draining endpoints are about to leave.
	Draining bool
	// ColdStartRemaining is how long the endpoint stays in cold start.
	ColdStartRemaining time.Duration
	Weights            []ModelVersion
}

// ModelVersion is a model that an engine holds whole, in one version.
type ModelVersion struct {
	Model   string
	Version int64
}

// Version returns the version of a model that the endpoint holds, 0 if none.
func (e *Endpoint) Version(model string) int64 {
	for _, loaded := range e.Weights {
		if loaded.Model == model {
			return loaded.Version
		}
	}
	return 0
}
