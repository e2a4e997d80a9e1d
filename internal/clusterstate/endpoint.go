package clusterstate

import "time"

// Endpoint is the entry that an endpoint writes to the object store.
type Endpoint struct {
	// ID identifies the endpoint. An endpoint may keep its ID across restarts.
	ID string
	// Incarnation distinguishes starts with the same ID; it increases with each start.
	Incarnation      int64
	Service          string
	Address          string
	AvailabilityZone string
	Region           string
	// Slots is the number of requests that the endpoint processes concurrently.
	Slots int
	// Draining is true if the endpoint is about to shut down.
	Draining bool
	// ColdStartRemaining is how much longer the endpoint is cold, as of the entry's Revision.
	ColdStartRemaining time.Duration
	Weights            []ModelVersion
	// Revision is that of the entry in the object store.
	Revision int64
}

// ModelVersion is a version of a model that an engine has loaded completely.
type ModelVersion struct {
	Model   string
	Version int64
}

// Version returns the version of a model that the endpoint has loaded, 0 if none.
func (e *Endpoint) Version(model string) int64 {
	for _, loaded := range e.Weights {
		if loaded.Model == model {
			return loaded.Version
		}
	}
	return 0
}
