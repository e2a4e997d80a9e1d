package clusterstate

// Announcement is what an endpoint says about itself in a response.
type Announcement struct {
	// Limited is true while the endpoint limits the requests that it takes from all
	// gateways together, to RequestRate a second.
	Limited     bool
	RequestRate float64
	// Leaving is true once the endpoint is about to shut down.
	Leaving bool
}
